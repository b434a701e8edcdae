#pragma once

#include <Cyclamenstair/Control/LoadRateLimiter.h>
#include <Cyclamenstair/Control/ResidencyPlanner.h>
#include <Cyclamenstair/Entry/EntryState.h>
#include <Cyclamenstair/Entry/OrderLeaseElector.h>
#include <Cyclamenstair/Entry/PeerMesh.h>
#include <Cyclamenstair/Http/HttpClient.h>

#include <platform/TargetCodec.h>

#include <optional>
#include <utility>

namespace cyclamenstair {

/// While this node holds the order lease: polls the engine targets' reports, plans which models and adapters each
/// target should hold, and sends load and unload orders. Belongs to one event loop.
class OrderDispatcher {
public:
    OrderDispatcher(boost::asio::io_context& context, OrderLeaseElector& elector, PeerMesh& mesh, EntryState& state);

    void start() { tick(); }

private:
    /// The lease holder's view of a target.
    struct TargetState {
        EngineReport report;
        TimePoint lastReportRequestAt;
        TimePoint reportRequestedAt; ///< Request time of the report in `report`.
        /// Reports requested earlier may not reflect the last order, whose outcome is unknown or which was refused.
        TimePoint reportsValidFrom;
        bool hasReport { false };
        std::set<std::string> announcedModels; ///< As last announced to the other nodes.
        uint32_t consecutiveMissedReports { 0 };
        bool isReportPending { false };
        bool isOrderPending { false };
        std::string loadingModel; ///< Model of an accepted load order that no report shows as finished yet.
        std::string unloadingModel; ///< The same for an unload order.
        /// Model and adapter of an accepted unload: requests use the adapter, which keeps its place until they are
        /// done.
        std::optional<std::pair<std::string, std::string>> unloadingAdapter;
        bool isLoadingFromStore { false };
        TimePoint adapterIncomingUntil; ///< An ordered adapter counts as incoming until then.
        std::string reservedForModel; ///< Model for which memory was freed by an unload.
        TimePoint reservedAt;
    };

    void tick();
    void scheduleTick();
    void requestReports();
    void requestReport(const TargetRecord& record);
    /// Leaves the orders to another node if this one holds the lease and reaches no target.
    void resignIfIsolated(TimePoint now);
    /// Records when each target was first seen, also while the lease is not held, so that a new lease holder has the
    /// times.
    void updateArrivals(TimePoint now);
    /// Returns whether the wave of target registrations after a start or an outage is over.
    bool haveArrivalsSettled(TimePoint now) const;
    void onReport(const TargetRecord& record, TimePoint requestedAt, const HttpOutcome& outcome);
    void planOrders();
    void planService(const CatalogService& service);
    void sendOrder(const TargetRecord& record, const TargetOrder& order, double loadsPerSecond);
    void onOrderResponse(
        const TargetRecord& record, const TargetOrder& order, TimePoint sentAt, const HttpOutcome& outcome);
    /// Sends the models that a target holds to the other nodes if they changed. The nodes also read them from the
    /// store, unless it is unavailable.
    void announceModels(const TargetRecord& record, TargetState& state);
    /// Returns the models that a target holds, except a model or an adapter that is being unloaded.
    static std::vector<LoadedModel> remainingModels(const TargetState& state);
    /// `isDone` means that an unload is complete; otherwise it waits for requests.
    static void applyAcceptedOrder(TargetState& state, const TargetOrder& order, bool isDone);

    boost::asio::steady_timer m_timer;
    OrderLeaseElector* m_elector;
    PeerMesh* m_mesh;
    EntryState* m_state;
    HttpClient m_client;
    ResidencyPlannerSettings m_plannerSettings;
    std::vector<TargetRecord> m_records;
    std::map<std::string, TargetState> m_targetStates;
    std::unique_ptr<LoadRateLimiter> m_loadRateLimiter; ///< Null while the lease is not held.
    TimePoint m_leaseHeldSince; ///< First tick at which this node held the lease.
    std::map<std::string, TimePoint> m_firstSeenAt; ///< By target id.
    std::optional<TimePoint> m_isolatedSince;
    TimePoint m_arrivalsUpdatedAt;
};

} // namespace cyclamenstair
