#pragma once

#include <Cyclamenstair/Node/PeriodicThread.h>
#include <Cyclamenstair/Node/TargetDirectory.h>
#include <Cyclamenstair/Transport/VmListClient.h>

#include <set>

namespace cyclamenstair {

/// Reads the VM list again and again, so that this node stops sending work to targets that the list shows as leaving.
/// While the list cannot be read, the last one stays in use. Callable from many threads.
class VmListPoller {
public:
    VmListPoller(const std::string& endpoint, Duration interval, TargetDirectory& directory);

    /// Returns the last list that was read.
    std::vector<VmInfo> vms() const;

    /// Returns whether the VM was on the list before and is not on the last one.
    bool isGone(const std::string& id) const;

    void stop() { m_thread.stop(); }

private:
    Duration step();

    VmListClient m_client;
    Duration m_interval;
    TargetDirectory* m_directory;
    mutable std::mutex m_mutex;
    std::vector<VmInfo> m_vms;
    std::set<std::string> m_present;
    std::set<std::string> m_gone;
    PeriodicThread m_thread; // Last, so that the thread starts after and ends before everything else.
};

} // namespace cyclamenstair
