#include <Cyclamenstair/Node/VmListPoller.h>

namespace cyclamenstair {

namespace {

    constexpr Duration readTimeout = milliseconds(1000);

} // namespace

VmListPoller::VmListPoller(const std::string& endpoint, Duration pollInterval, TargetDirectory& directory)
    : m_client(endpoint)
    , m_pollInterval(pollInterval)
    , m_directory(&directory)
    , m_thread("vm_list", [this] { return step(); })
{
}

std::vector<VmInfo> VmListPoller::vms() const
{
    std::lock_guard lock(m_mutex);
    return m_vms;
}

bool VmListPoller::isRemoved(const std::string& id) const
{
    std::lock_guard lock(m_mutex);
    return m_removedIds.contains(id);
}

Duration VmListPoller::step()
{
    auto vms = m_client.read(readTimeout);
    if (!vms)
        return m_pollInterval;
    std::vector<std::string> leavingIds;
    std::set<std::string> listedIds;
    for (const auto& vm : *vms) {
        listedIds.insert(vm.id);
        if (vm.state == VmState::Leaving)
            leavingIds.push_back(vm.id);
    }
    m_directory->setLeavingTargets(leavingIds);
    std::lock_guard lock(m_mutex);
    for (const auto& id : m_listedIds) {
        if (!listedIds.contains(id))
            m_removedIds.insert(id);
    }
    for (const auto& id : listedIds)
        m_removedIds.erase(id);
    m_listedIds = std::move(listedIds);
    m_vms = std::move(*vms);
    return m_pollInterval;
}

} // namespace cyclamenstair
