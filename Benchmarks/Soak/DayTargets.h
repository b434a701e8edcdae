#pragma once

#include <Benchmarks/Soak/DayForeignEntries.h>
#include <Benchmarks/Soak/DaySettings.h>

#include <Cyclamenstair/Core/Random.h>

#include <StandIns/RegistryStoreStandIn.h>
#include <StandIns/SimulatedTarget.h>

#include <memory>

namespace cyclamenstair {

/// Returns the work of a plain service: means over the kinds of requests that it serves.
ServiceWorkload serviceWorkload(const Site& site, const std::string& service);

/// The simulated targets of a day and their entries in the store. Belongs to the thread of the run.
class DayTargets {
public:
    /// Throws Exception if a target cannot listen.
    DayTargets(const DaySettings& settings, RegistryStoreStandIn& store);

    size_t count() const { return m_targets.size(); }
    SimulatedTarget& target(size_t index) { return *m_targets[index].simulated; }
    const std::string& failureDomain(size_t index) const { return m_targets[index].failureDomain; }

    /// Returns the indices of a share of the targets of a service, or of all services if the name is empty; one at
    /// least.
    std::vector<size_t> draw(const std::string& service, double share, Random& random) const;

    /// Writes the entries again when it is time. While the store cannot be reached by targets, none is written, and
    /// entries expire if `expires` is set.
    void tick(bool isStoreReachable, bool expires);

    /// Returns the ids and the entries of the targets that are in the store.
    std::vector<std::pair<std::string, std::string>> entries() const;

    void crash(size_t index);
    /// Restarts a target under a new id.
    void restart(size_t index);

private:
    struct Entry {
        std::unique_ptr<SimulatedTarget> simulated;
        std::string service;
        std::string failureDomain;
        std::string id; ///< Of the entry that was written last.
        TimePoint writtenAt;
        size_t boots { 1 };
    };

    void place(std::vector<SimulatedTargetSettings>& engines, const SiteService& service) const;

    const Site* m_site;
    RegistryStoreStandIn* m_store;
    std::vector<Entry> m_targets;
    DayForeignEntries m_foreignEntries;
};

} // namespace cyclamenstair
