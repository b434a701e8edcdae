#pragma once

#include <Cyclamenstair/Admission/AllotmentLimiter.h>
#include <Cyclamenstair/Catalog/CatalogRegistry.h>
#include <Cyclamenstair/Core/BufferBudget.h>
#include <Cyclamenstair/Fleet/DemandCounter.h>
#include <Cyclamenstair/Fleet/RelayPeers.h>
#include <Cyclamenstair/Fleet/TargetReach.h>
#include <Cyclamenstair/Fleet/TargetRegistry.h>
#include <Cyclamenstair/Generated/Settings_generated.h>
#include <Cyclamenstair/Quarantine/PromptQuarantine.h>
#include <Cyclamenstair/RequestFlow/RequestMachine.h>
#include <Cyclamenstair/Routing/RetryBudget.h>
#include <Cyclamenstair/Telemetry/Metrics.h>

#include <atomic>
#include <functional>

namespace cyclamenstair {

/// An answer that a target lost before it had continued.
struct LostAnswer {
    AcquiredTarget target;
    PromptParts parts;
    uint64_t attempt { 0 }; ///< Identifies the attempt among those of all nodes.
};

/// What a node waits for before it receives new connections.
enum class Readiness : uint8_t {
    Ready,
    Stopping,
    Targets, ///< Neither the store nor a peer has passed on the targets' entries.
    Catalog, ///< The same for the catalog.
    Fleet, ///< The usage of the allotments at the other nodes is not known yet.
};

template <> struct EnumNames<Readiness> {
    static constexpr auto table = std::to_array<EnumName<Readiness>>({
        { Readiness::Ready, "ready" },
        { Readiness::Stopping, "stopping" },
        { Readiness::Targets, "targets" },
        { Readiness::Catalog, "catalog" },
        { Readiness::Fleet, "fleet" },
    });
};

/// State shared by the request loops and the control loop.
struct EntryState {
    explicit EntryState(const schema::SettingsT& settings);

    std::string nodeId;
    RequestFlowSettings flowSettings;
    CatalogRegistry catalog;
    TargetRegistry targets;
    TargetReach reach;
    RelayPeers relays;
    DemandCounter demand;
    RetryBudget retries;
    AllotmentLimiter allotments;
    Metrics metrics;
    PromptQuarantine quarantine;
    SoftwareVersions versions;
    StreamOrigins origins;
    BufferBudget requestBuffers; ///< For callers' requests and their responses.
    BufferBudget controlBuffers; ///< For the store, reports of targets and other nodes.
    std::function<void(LostAnswer)> onLostAnswer; ///< Set before the request loops start; thread-safe.
    std::atomic<bool> areTargetsKnown { false }; ///< The target entries were read from the store or from a peer.
    std::atomic<bool> isStopping { false };
    /// New requests with a later deadline are refused, because the process exits before it.
    std::atomic<TimePoint> latestRequestEnd { TimePoint::max() };
    std::atomic<uint32_t> requestsInProgress { 0 };
    std::atomic<uint32_t> relayedRequests { 0 }; ///< Of these, requests that other nodes have passed on.

    /// Activates the catalog if it is newer than the active one. Returns whether it was activated.
    bool activate(ServiceCatalog newCatalog, TimePoint now);

    /// Returns whether callers are authenticated and have allotments.
    bool hasTeams() const;

    /// Sets the number of registered nodes, which share the allowance for extra attempts.
    void setNodeCount(size_t nodeCount);

    /// Returns the lower bound of the number of nodes while those in the store are not known.
    size_t minNodeCount() const { return m_minNodeCount; }

    /// Returns whether a request with this deadline ends before the process exits.
    bool canFinishBefore(TimePoint deadline) const { return deadline <= latestRequestEnd.load(); }

    /// Returns whether the node should receive new connections, or what it waits for.
    Readiness readiness(TimePoint now) const;

private:
    TimePoint m_startedAt;
    uint32_t m_minNodeCount; ///< Lower bound on the node count that the allowance is divided by.
};

} // namespace cyclamenstair
