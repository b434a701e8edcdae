#pragma once

#include <Benchmarks/Soak/DayCallers.h>
#include <Benchmarks/Soak/DayCatalog.h>
#include <Benchmarks/Soak/DayNodes.h>
#include <Benchmarks/Soak/DayTargets.h>
#include <Benchmarks/Soak/SoakRule.h>
#include <Benchmarks/Soak/StoreFiller.h>

namespace cyclamenstair {

/// Time in which an event disturbed a node or, without one, all nodes.
struct DayDisturbance {
    std::optional<size_t> node;
    TimePoint begin;
    TimePoint end;
    bool endsProcess { false }; ///< The node's next process is not disturbed by it.
};

/// What a day is played on: store, targets, nodes and callers, with actions at later times. Belongs to the thread of
/// the run.
struct DayDeployment {
    DayDeployment(const DaySettings& daySettings, const std::string& folder);
    ~DayDeployment();
    DayDeployment(const DayDeployment&) = delete;
    DayDeployment& operator=(const DayDeployment&) = delete;

    /// Runs an action after the time.
    void schedule(Duration delay, std::function<void()> action)
    {
        actions.emplace(monotonicNow() + delay, std::move(action));
    }

    void disturb(std::optional<size_t> node, Duration duration);
    /// Records that the node's process ends, after which the next one needs the time to settle.
    void disturbByEnd(size_t node, Duration duration);
    /// Returns whether nothing disturbed the node from `begin` to `end`.
    bool isCalm(size_t node, TimePoint begin, TimePoint end) const;

    void writeCatalog();

    /// Returns the node whose order was accepted last, or no value if there was no order.
    std::optional<size_t> findOrderHolder();

    void report(SoakRule rule, const std::string& description);

    const DaySettings* settings;
    Random random;
    std::multimap<TimePoint, std::function<void()>> actions;
    std::vector<DayDisturbance> disturbances;
    std::map<SoakRule, std::vector<std::string>> findings;
    size_t compactions { 0 }; ///< Of the store's history, by events.
    int storeOutages { 0 }; ///< Events in force that keep all nodes from the store.
    bool leasesLapse { false }; ///< While the store is down.
    RegistryStoreStandIn store;
    DayTargets targets;
    DayCatalog catalog;
    SoakTimer timer; ///< Its actions use the nodes; stopped before they are destroyed.
    DayNodes nodes;
    DayCallers callers;
    std::unique_ptr<StoreFiller> filler; ///< Null unless another writer fills the store.
};

} // namespace cyclamenstair
