#include <Cyclamenstair/Node/VmListPoller.h>

namespace cyclamenstair {

namespace {

    constexpr Duration readTimeout = milliseconds(1000);

} // namespace

VmListPoller::VmListPoller(const std::string& endpoint, Duration interval, TargetDirectory& directory)
    : m_client(endpoint)
    , m_interval(interval)
    , m_directory(&directory)
    , m_thread("vm_list", [this] { return step(); })
{
}

std::vector<VmInfo> VmListPoller::vms() const
{
    std::lock_guard lock(m_mutex);
    return m_vms;
}

bool VmListPoller::isGone(const std::string& id) const
{
    std::lock_guard lock(m_mutex);
    return m_gone.contains(id);
}

Duration VmListPoller::step()
{
    auto vms = m_client.read(readTimeout);
    if (!vms)
        return m_interval;
    std::vector<std::string> leaving;
    std::set<std::string> present;
    for (const auto& vm : *vms) {
        present.insert(vm.id);
        if (vm.state == VmState::Leaving)
            leaving.push_back(vm.id);
    }
    m_directory->markLeaving(leaving);
    std::lock_guard lock(m_mutex);
    for (const auto& id : m_present) {
        if (!present.contains(id))
            m_gone.insert(id);
    }
    for (const auto& id : present)
        m_gone.erase(id);
    m_present = std::move(present);
    m_vms = std::move(*vms);
    return m_interval;
}

} // namespace cyclamenstair
