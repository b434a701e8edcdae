#pragma once

#include <Cyclamenstair/Node/PeriodicThread.h>
#include <Cyclamenstair/Node/TargetDirectory.h>
#include <Cyclamenstair/Transport/VmListClient.h>

#include <set>

namespace cyclamenstair {

/// Polls the VM list and marks leaving targets in the target directory, so that this node sends them no new work. While
/// the list cannot be read, the last one remains in use. Thread-safe.
class VmListPoller {
public:
    VmListPoller(const std::string& endpoint, Duration pollInterval, TargetDirectory& directory);

    /// Returns the list as last read.
    std::vector<VmInfo> vms() const;

    /// Returns whether the VM was on an earlier list and is not on the last one.
    bool isRemoved(const std::string& id) const;

    void stop() { m_thread.stop(); }

private:
    Duration step();

    VmListClient m_client;
    Duration m_pollInterval;
    TargetDirectory* m_directory;
    mutable std::mutex m_mutex;
    std::vector<VmInfo> m_vms;
    std::set<std::string> m_listedIds;
    std::set<std::string> m_removedIds;
    PeriodicThread m_thread; // Last member: starts after and stops before all others.
};

} // namespace cyclamenstair
