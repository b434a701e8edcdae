#pragma once

#include <Benchmarks/Soak/DayDeployment.h>

namespace cyclamenstair {

/// Returns whether the word is one of the event's variants.
bool hasVariant(const SiteEvent& event, std::string_view word);

/// Plays the events of a day on a deployment. Belongs to the thread of the run.
class DayEvents {
public:
    explicit DayEvents(DayDeployment& deployment);

    /// Schedules the events that come before the traffic, which have negative times.
    void scheduleBeforeTraffic(TimePoint trafficAt);
    /// Schedules the events from the start of the traffic on, which is now.
    void scheduleTraffic();

private:
    void play(const SiteEvent& event);
    // Each returns false if the event cannot be played.
    bool playOnCallers(const SiteEvent& event);
    bool playOnTargets(const SiteEvent& event);
    bool playOnNodes(const SiteEvent& event);
    bool playOnLinks(const SiteEvent& event);
    bool playOnStore(const SiteEvent& event);
    bool playOnCatalog(const SiteEvent& event);

    void setFault(const SiteEvent& event, TargetFaultKind kind, double defaultStrength);
    void restartTargets(const SiteEvent& event);
    /// Returns the node that gives orders if the event is meant for it, or a share of the nodes.
    std::vector<size_t> drawNodes(const SiteEvent& event, double share);
    void rollNodes(const SiteEvent& event);
    /// Steps the time of day of the nodes forward or backward, and back after the duration.
    void stepClocks(const SiteEvent& event);
    /// Stops and continues the node again and again, so that it gets one `factor`-th of the time.
    void slowNode(size_t node, double factor, TimePoint end);
    void cutStoreOff(const SiteEvent& event);
    void cutStoreOffNodes(const SiteEvent& event);
    /// Changes the mode of the links of a node, and back after the duration.
    void cutLinks(size_t node, LinkMode mode, bool concernsTargets, Duration duration);
    /// Changes the catalog and tells the nodes nothing, as the operator does.
    void changeCatalog(const SiteEvent& event);

    DayDeployment* m_deployment;
    std::vector<int> m_storeCuts; ///< In force, by node.
    std::vector<int> m_targetCuts;
    std::vector<int> m_refusals; ///< By the store, by node.
    size_t m_catalogSteps { 0 };
};

} // namespace cyclamenstair
