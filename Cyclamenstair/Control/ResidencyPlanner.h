#pragma once

#include <Cyclamenstair/Catalog/ServiceCatalog.h>
#include <Cyclamenstair/Control/EngineReport.h>
#include <Cyclamenstair/Control/TargetOrder.h>
#include <Cyclamenstair/Fleet/DemandCounter.h>

#include <algorithm>

namespace cyclamenstair {

/// Settings of a ResidencyPlanner.
struct ResidencyPlannerSettings {
    /// A further copy is made only if the load per copy is this many times what the model that makes room for it would
    /// then have per copy, so that noise in the demand moves nothing.
    double moveAdvantage { 2.0 };
    /// Requests in progress per copy below which a model needs no further copy. An engine runs 64 at once, of up to
    /// three models.
    double busyPerCopy { 12.0 };
    /// Requests in progress that the other copies of a model may have each, at most, after one is given up for a model
    /// without a copy. The slots of an engine: beyond them, requests for the model that yields would wait instead.
    double mostBusyPerCopy { 64.0 };
    /// Arrivals a second from which on a model has at least two copies, so that it is served when an engine is lost and
    /// while further copies are made for a rise. A few percent of the requests of a service.
    double arrivalsForSecondCopy { 1.5 };
    uint32_t adaptersInTransitPerTarget { 4 }; ///< Limit of the engines.
    uint32_t adapterOrdersAtOnce { 12 }; ///< Over all targets; more slow each other down at the weight store.
};

/// A target as the planner sees it.
struct PlannerTarget {
    std::string id;
    bool isLeaving { false };
    bool isOrderable { true }; ///< False while an order is unanswered or no recent report is known.
    /// False for a target that does not answer; its copies are not counted, so that lost models are placed elsewhere.
    bool isReachable { true };
    EngineReport report;
    std::map<std::string, uint32_t> modelRuns; ///< Requests in flight by model, over all nodes.
    bool hasIncomingAdapter { false }; ///< One was ordered a moment ago; the next waits for it.
    std::string unloadingModel; ///< Model of an accepted unload; it is reported until its last request has ended.
    std::string loadingModel; ///< Model of an accepted load that the report does not show yet.
    std::string reservedFor; ///< Model for which room was made here; no other is loaded meanwhile.
};

/// What the planner decides on, for one service.
struct PlannerInput {
    std::string service;
    const EngineProfile* engine { nullptr };
    std::vector<PlannerTarget> targets;
    std::map<ArtifactKey, ArtifactLoad> demand; ///< Over all nodes.
    uint32_t weightLoads { 0 }; ///< Loads from the weight store that may begin now.
    uint32_t spareLoads { 0 }; ///< Loads among them that may be spent on models that no request waits for.
};

/// Decides which models and adapters the engines of a service hold.
///
/// Every model keeps a copy; models with many requests in progress get further ones in place of the least wanted
/// copies. Every adapter of a model that is held is placed before it is asked for. Orders never exceed a target's
/// memory or adapter places as reported.
class ResidencyPlanner {
public:
    ResidencyPlanner(const PlannerInput& input, const ResidencyPlannerSettings& settings);

    /// Returns at most one order for each target.
    std::vector<TargetOrder> plan();

private:
    struct Engine {
        const PlannerTarget* target;
        bool isFree; ///< Can take a model order now.
        bool isOrdered { false };
        double usedMib { 0 };
        uint32_t adapterPlaces { 0 }; ///< Adapter places that are used or reserved.
    };
    struct ModelState {
        const CatalogModel* model;
        uint32_t copies { 0 }; ///< On targets that stay, loads in progress included.
        uint32_t usable { 0 }; ///< Copies among them that serve requests now.
        uint32_t reserved { 0 }; ///< Copies for which room was made and whose load has not begun.
        double busy { 0 }; ///< Requests in progress or waiting.
        double arrivalsPerSecond { 0 };
        bool isAskedFor { false }; ///< Requests arrived lately.
        uint32_t leastCopies { 1 }; ///< Copies needed to have places for all adapters, while the model is asked for.
        uint32_t steadyCopies { 1 }; ///< Copies that the model has while no busy model needs the weight store's rate.
    };

    void countCopies();
    void placeAskedForAdapters();
    /// Loads models into room that was made for them.
    void useReservedRoom();
    /// Places models without a copy, those that are asked for or the others.
    void placeMissingModels(bool areAskedFor);
    void placeOtherAdapters();
    void placeFurtherCopies();
    /// Fills room that is left with second copies, so that demand that moves to a model finds one without a wait.
    void placeSpareCopies();
    /// Returns the models, those with the most requests for each copy first.
    std::vector<ModelState*> busiestModels();
    void placeAdapter(const ModelState& state, const std::string& adapter, bool isAskedFor);
    void evictAdapter(const std::string& model);
    double arrivals(const std::string& model, const std::string& adapter) const;
    void placeCopy(ModelState& wanted);
    void loadCopy(Engine& engine, ModelState& wanted);
    Engine* engineWithRoom(const ModelState& wanted);
    /// Returns whether an engine has room for the model, now or once the weight store's rate allows a load.
    bool isRoomAhead(const ModelState& wanted) const;
    /// Returns the engine and the model whose copy makes room soonest, among those that are wanted less than a further
    /// copy of `wanted`.
    std::pair<Engine*, ModelState*> leastWantedCopy(const ModelState& wanted);
    /// Returns the requests per copy below which other models give a copy up for `wanted`.
    double yieldLimit(const ModelState& wanted) const;
    static uint32_t runsOf(const Engine& engine, const std::string& model);
    bool holds(const Engine& engine, const std::string& model) const;
    bool mayLoad(const Engine& engine, const ModelState& wanted) const;
    void order(Engine& engine, OrderKind kind, const std::string& model, const std::string& adapter, MoveReason reason,
        const std::string& roomFor = {});

    /// Returns the requests in progress for each copy, present or on its way.
    static double busyShare(const ModelState& state)
    {
        return state.busy / std::max(1U, state.copies + state.reserved);
    }

    const PlannerInput* m_input;
    const ResidencyPlannerSettings* m_settings;
    std::vector<Engine> m_engines;
    std::map<std::string, ModelState> m_models;
    uint32_t m_weightLoads;
    uint32_t m_adaptersInTransit { 0 };
    std::vector<TargetOrder> m_orders;
};

} // namespace cyclamenstair
