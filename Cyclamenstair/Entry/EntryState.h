#pragma once

#include <Cyclamenstair/Catalog/CatalogRegistry.h>
#include <Cyclamenstair/Fleet/DemandCounter.h>
#include <Cyclamenstair/Fleet/TargetRegistry.h>
#include <Cyclamenstair/Generated/Settings_generated.h>
#include <Cyclamenstair/RequestFlow/RequestMachine.h>
#include <Cyclamenstair/Routing/RetryBudget.h>
#include <Cyclamenstair/Telemetry/Metrics.h>

#include <atomic>

namespace cyclamenstair {

/// State that the request loops and the control loop share.
struct EntryState {
    explicit EntryState(const schema::SettingsT& settings);

    std::string nodeId;
    RequestFlowSettings flowSettings;
    CatalogRegistry catalog;
    TargetRegistry targets;
    DemandCounter demand;
    RetryBudget retries;
    Metrics metrics;
    std::atomic<bool> areTargetsKnown { false };
    std::atomic<bool> isStopping { false };
    /// New requests that may last longer are refused, because the process ends before.
    std::atomic<TimePoint> workEndsBy { TimePoint::max() };
    std::atomic<uint32_t> requestsInProgress { 0 };

    /// Takes the number of nodes that are known; they share the allowance for extra attempts.
    void noteNodes(size_t known);

    /// Returns whether a request with the given deadline ends before the process does.
    bool mayBegin(TimePoint deadline) const { return deadline <= workEndsBy.load(); }

    /// Returns whether the node should get new connections.
    bool isReady() const { return !isStopping && areTargetsKnown && catalog.current() != nullptr; }

private:
    uint32_t m_leastNodes; ///< Nodes that are reckoned with although fewer are known.
};

} // namespace cyclamenstair
