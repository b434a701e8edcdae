#pragma once

#include <Cyclamenstair/Catalog/ServiceCatalog.h>
#include <Cyclamenstair/Control/EngineReport.h>
#include <Cyclamenstair/Control/TargetOrder.h>
#include <Cyclamenstair/Fleet/DemandCounter.h>

#include <algorithm>

namespace cyclamenstair {

/// Settings of a ResidencyPlanner.
struct ResidencyPlannerSettings {
    /// A model gets an additional copy in place of another model's only if its load per copy is more than this many
    /// times the resulting load per copy of the other model. Prevents moves caused by noise in the demand.
    double minMoveAdvantage { 2.0 };
    /// Requests in progress per copy above which a model is busy and gets additional copies, as a share of the engine's
    /// slots. The slots are shared by up to three models, and streams slow down well before all are taken.
    double busySlotShare { 0.1875 };
    /// Arrival rate from which on a model has at least two copies, so that it remains available when an engine fails
    /// and while copies are added for rising demand. A few percent of the requests of a service.
    double secondCopyArrivalsPerSecond { 1.5 };
    uint32_t maxAdapterLoadsPerTarget { 4 }; ///< Limit of the engines.
    uint32_t maxAdapterLoads { 12 }; ///< Limit over all targets; more loads slow each other down at the weight store.
};

/// State of a target as input of the planner.
struct PlannerTarget {
    std::string id;
    bool isLeaving { false };
    bool isOrderable { true }; ///< False while an order is unanswered or without a recent report.
    /// False for a target that does not respond; its copies are not counted, so that their models are placed elsewhere.
    bool isReachable { true };
    EngineReport report;
    std::map<std::string, uint32_t> inFlightByModel; ///< Requests in flight by model, over all nodes.
    /// An adapter load was just accepted, or an adapter's unload waits for its requests; the next load has to wait.
    bool isAdapterLoading { false };
    std::string unloadingModel; ///< Model of an accepted unload; the report lists it until its last request finishes.
    std::string loadingModel; ///< Model of an accepted load that the report may not list yet.
    std::string reservedModel; ///< Model for which another was unloaded here; no other model is loaded meanwhile.
};

/// Input of the planner for one service.
struct PlannerInput {
    std::string service;
    const EngineProfile* engine { nullptr };
    std::vector<PlannerTarget> targets;
    std::map<ArtifactKey, ArtifactWorkload> demand; ///< Summed over all nodes.
    uint32_t weightLoadBudget { 0 }; ///< Loads from the weight store that may start now.
    uint32_t spareLoadBudget { 0 }; ///< Loads among them that are available to models for which no request waits.
};

/// Decides which models and adapters the engines of a service load.
///
/// Every model has at least one copy. Models with many requests in progress get additional copies in place of those in
/// least demand. Adapters of loaded models are loaded before the first request for them. Orders never exceed the memory
/// or the adapter slots that a target reports as free.
class ResidencyPlanner {
public:
    ResidencyPlanner(const PlannerInput& input, const ResidencyPlannerSettings& settings);

    /// Returns at most one order for each target.
    std::vector<TargetOrder> plan();

private:
    struct Engine {
        const PlannerTarget* target;
        bool acceptsModelOrder; ///< Whether the target can load or unload a model now.
        bool hasOrder { false }; ///< The plan contains an order for the target.
        double usedMib { 0 };
        uint32_t usedAdapterSlots { 0 }; ///< Slots of loaded adapters and of those that are being loaded.
    };
    struct ModelState {
        const CatalogModel* model;
        uint32_t copies { 0 }; ///< Copies on targets that stay, including those that are being loaded.
        uint32_t servingCopies { 0 }; ///< Copies that can serve requests now.
        uint32_t reservedCopies { 0 }; ///< Copies for which memory is reserved and whose load has not started.
        double requestsInProgress { 0 }; ///< Includes waiting requests.
        double arrivalsPerSecond { 0 };
        bool isInDemand { false }; ///< Has requests in progress or recent arrivals.
        uint32_t minCopies { 1 }; ///< Copies needed for the slots of all adapters if the model is in demand, else 1.
        uint32_t baselineCopies { 1 }; ///< Copies to have unless busy models need the weight store's load rate.
    };

    void countCopies();
    void placeAdaptersInDemand();
    /// Loads models for which memory is reserved.
    void loadReservedModels();
    /// Places models without a copy: either those in demand or the others.
    void placeMissingModels(bool areInDemand);
    void placeIdleAdapters();
    void placeAdditionalCopies();
    /// Uses free memory for second copies, so that demand which shifts to a model does not wait for a load.
    void placeSpareCopies();
    /// Returns the models in descending order of requests per copy.
    std::vector<ModelState*> modelsByLoad();
    void placeAdapter(const ModelState& state, const std::string& adapter, bool isInDemand);
    void evictAdapter(const std::string& model);
    double adapterDemand(const std::string& model, const std::string& adapter) const;
    void placeCopy(ModelState& candidate);
    void orderLoad(Engine& engine, ModelState& candidate);
    Engine* findEngineWithMemory(const ModelState& candidate);
    /// Returns whether an engine has enough free memory for the model, even if its load has to wait for the load rate
    /// of the weight store.
    bool canLoadLater(const ModelState& candidate) const;
    /// Returns the copy with the lowest cost to unload in favour of `candidate`, as its engine and model, or null
    /// pointers if there is none.
    std::pair<Engine*, ModelState*> cheapestVictim(const ModelState& candidate);
    /// Returns the limit of requests per remaining copy for models that lose a copy in favour of `candidate`.
    double maxVictimLoad(const ModelState& candidate) const;
    static uint32_t requestsInFlight(const Engine& engine, const std::string& model);
    bool hasLoaded(const Engine& engine, const std::string& model) const;
    bool mayLoad(const Engine& engine, const ModelState& candidate) const;
    void order(Engine& engine, OrderKind kind, const std::string& model, const std::string& adapter, MoveReason reason,
        const std::string& replacementModel = {});

    /// Returns the requests in progress per copy; copies that are being loaded and reserved copies count.
    static double requestsPerCopy(const ModelState& state)
    {
        return state.requestsInProgress / std::max(1U, state.copies + state.reservedCopies);
    }

    const PlannerInput* m_input;
    const ResidencyPlannerSettings* m_settings;
    std::vector<Engine> m_engines;
    std::map<std::string, ModelState> m_models;
    uint32_t m_weightLoadBudget;
    uint32_t m_adapterLoads { 0 };
    double m_busyRequestsPerCopy; ///< From ResidencyPlannerSettings::busySlotShare.
    /// Maximum requests in progress per remaining copy after a copy is unloaded in favour of a model without one. Equal
    /// to the slots of an engine: above it, requests for the unloaded model would wait instead.
    double m_maxRequestsPerCopy;
    std::vector<TargetOrder> m_orders;
};

} // namespace cyclamenstair
