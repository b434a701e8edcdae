#pragma once

#include <Cyclamenstair/Control/LoadRateLimiter.h>
#include <Cyclamenstair/Control/ResidencyPlanner.h>
#include <Cyclamenstair/Entry/EntryState.h>
#include <Cyclamenstair/Entry/OrderHolder.h>
#include <Cyclamenstair/Entry/PeerMesh.h>
#include <Cyclamenstair/Http/HttpCaller.h>

#include <platform/TargetCodec.h>

namespace cyclamenstair {

/// Reads the targets' reports, plans what they should hold, and gives the orders, while this node holds the order
/// lease. Belongs to one event loop.
class OrderDispatcher {
public:
    OrderDispatcher(boost::asio::io_context& context, OrderHolder& holder, PeerMesh& mesh, EntryState& state);

    void start() { tick(); }

private:
    /// What this holder knows of a target.
    struct Known {
        EngineReport report;
        TimePoint askedAt; ///< Last time that a report was asked for.
        TimePoint reportedAt; ///< When the report in `report` was asked for.
        /// Reports asked for before this time say nothing of the last order, as it was not answered with an acceptance.
        TimePoint uncertainUntil;
        bool hasReport { false };
        std::set<std::string> announcedModels; ///< Those that the other nodes were last told of.
        uint32_t missedReports { 0 }; ///< Calls for a report in a row that failed.
        bool isAsking { false };
        bool isOrdering { false };
        std::string loadingModel; ///< Of an accepted order that a report does not show as done.
        std::string unloadingModel;
        bool isLoadingFromStore { false };
        TimePoint incomingUntil; ///< An adapter that was ordered is on its way until then.
        std::string reservedFor; ///< Model for which room was made.
        TimePoint reservedAt;
    };

    void tick();
    void scheduleTick();
    void askTargets();
    void ask(const TargetRecord& record);
    /// Remembers when each target was first seen. Runs also while the lease is not held, so that a new holder knows it.
    void noteArrivals(TimePoint now);
    /// Returns whether the targets that are about to register have done so.
    bool isSettled(TimePoint now) const;
    void onReport(const TargetRecord& record, TimePoint askedAt, const HttpOutcome& outcome);
    void plan();
    void planService(const CatalogService& service);
    void send(const TargetRecord& record, const TargetOrder& order, double loadsPerSecond);
    void onAnswer(const TargetRecord& record, const TargetOrder& order, TimePoint sentAt, const HttpOutcome& outcome);
    /// Tells the other nodes which models a target holds, if that has changed. They hear of it from the store, too,
    /// unless that is away.
    void announceModels(const TargetRecord& record, Known& known);
    /// Returns what a target holds without a model that is being unloaded.
    static std::vector<LoadedModel> modelsThatStay(const Known& known);
    static void noteAccepted(Known& known, const TargetOrder& order);

    boost::asio::steady_timer m_timer;
    OrderHolder* m_holder;
    PeerMesh* m_mesh;
    EntryState* m_state;
    HttpCaller m_caller;
    ResidencyPlannerSettings m_plannerSettings;
    std::vector<TargetRecord> m_records;
    std::map<std::string, Known> m_known;
    std::unique_ptr<LoadRateLimiter> m_loads; ///< Of the present time as holder; none while the lease is not held.
    TimePoint m_heldSince; ///< When this node was first seen to hold the lease.
    std::map<std::string, TimePoint> m_firstSeen; ///< By target id.
};

} // namespace cyclamenstair
