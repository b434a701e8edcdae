#include <StandIns/SimulatedTarget.h>

#include <StandIns/SimulatedTargetImpl.h>

namespace cyclamenstair {

Result<std::unique_ptr<SimulatedTarget>> SimulatedTarget::create(SimulatedTargetSettings settings)
{
    auto impl = std::make_unique<Impl>(std::move(settings));
    if (auto error = impl->start())
        return *error;
    return std::unique_ptr<SimulatedTarget>(new SimulatedTarget(std::move(impl)));
}

SimulatedTarget::SimulatedTarget(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

SimulatedTarget::~SimulatedTarget() = default;

std::string SimulatedTarget::id() const
{
    return m_impl->onLoop([this] { return m_impl->id(); });
}

const std::string& SimulatedTarget::service() const { return m_impl->settings().service; }

const std::string& SimulatedTarget::address() const { return m_impl->address(); }

std::optional<std::string> SimulatedTarget::entry() const
{
    return m_impl->onLoop([this] { return m_impl->entry(); });
}

void SimulatedTarget::drain(std::optional<Duration> remaining)
{
    m_impl->onLoop([&] { m_impl->drain(remaining); });
}

void SimulatedTarget::crash()
{
    m_impl->onLoop([this] { m_impl->crash(); });
}

void SimulatedTarget::restart(const std::string& id)
{
    m_impl->onLoop([&] { m_impl->restart(id); });
}

void SimulatedTarget::resetConnections(double share)
{
    m_impl->onLoop([&] { m_impl->resetConnections(share); });
}

void SimulatedTarget::setFault(TargetFaultKind kind, double share)
{
    m_impl->onLoop([&] { m_impl->setFault(kind, share); });
}

std::map<std::string, int> SimulatedTarget::runs() const
{
    return m_impl->onLoop([this] { return m_impl->runs(); });
}

std::vector<AcceptedOrder> SimulatedTarget::orders() const
{
    return m_impl->onLoop([this] { return m_impl->orders(); });
}

size_t SimulatedTarget::excessiveOrderCount() const
{
    return m_impl->onLoop([this] { return m_impl->excessiveOrderCount(); });
}

size_t SimulatedTarget::maxOpenConnections() const
{
    return m_impl->onLoop([this] { return m_impl->maxOpenConnections(); });
}

} // namespace cyclamenstair
