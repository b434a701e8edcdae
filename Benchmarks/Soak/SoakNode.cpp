#include <Benchmarks/Soak/SoakNode.h>

#include <StandIns/LoopbackPort.h>

#include <csignal>
#include <fstream>

namespace cyclamenstair {

SoakNode::SoakNode(const std::string& id, const std::string& folder, const std::string& storeAddress,
    const std::string& peerAddress, const std::string& seeds)
    : m_id(id)
    , m_callerAddress(allocateLoopbackAddress())
    , m_probeAddress(allocateLoopbackAddress())
    , m_settingsPath(folder + "/" + id + ".ini")
    , m_logPath(folder + "/" + id + ".log")
{
    std::ofstream(m_settingsPath) << "[node]\nmode = Registered\nid = " << id
                                  << "\n[entry]\nlisten = " << m_callerAddress << "\nready_listen = " << m_probeAddress
                                  << "\npeer_listen = " << peerAddress << "\nseeds = " << seeds
                                  << "\nrelay_listen = " << allocateLoopbackAddress()
                                  << "\n[control]\nstore = " << storeAddress << "\n";
}

void SoakNode::start()
{
    std::lock_guard lock(m_mutex);
    startProcess();
}

void SoakNode::startProcess()
{
    m_disturbedAt = monotonicNow();
    m_process = std::make_unique<SoakProcess>(
        "Programs/cyclamenstaird", std::vector<std::string> { "--config", m_settingsPath }, m_logPath);
}

void SoakNode::signal(int number)
{
    std::lock_guard lock(m_mutex);
    m_disturbedAt = monotonicNow();
    if (m_process)
        m_process->sendSignal(number);
    // A predecessor may have been frozen before it was replaced.
    if (number == SIGCONT) {
        for (const auto& predecessor : m_predecessors)
            predecessor->sendSignal(number);
    }
}

void SoakNode::replace()
{
    std::lock_guard lock(m_mutex);
    m_process->sendSignal(SIGTERM);
    m_predecessors.push_back(std::move(m_process));
    startProcess();
}

bool SoakNode::isStopping()
{
    std::lock_guard lock(m_mutex);
    return !m_process || m_process->isToldToEnd() || !m_predecessors.empty();
}

std::vector<SoakEnd> SoakNode::restartIfEnded()
{
    std::lock_guard lock(m_mutex);
    std::vector<SoakEnd> ends;
    // The successor serves only once its predecessor has ended.
    if (!m_predecessors.empty())
        m_disturbedAt = monotonicNow();
    const auto takeEnd = [&](const auto& process) {
        auto end = process->takeEnd();
        if (end)
            ends.push_back(*end);
        return end.has_value();
    };
    std::erase_if(m_predecessors, takeEnd);
    if (m_process && takeEnd(m_process)) {
        m_process.reset();
        if (!m_isStopped)
            startProcess();
    }
    return ends;
}

void SoakNode::stop()
{
    std::lock_guard lock(m_mutex);
    if (m_isStopped)
        return;
    m_disturbedAt = monotonicNow();
    m_isStopped = true;
    m_process->sendSignal(SIGTERM);
}

bool SoakNode::hasStopped()
{
    std::lock_guard lock(m_mutex);
    return m_isStopped && !m_process && m_predecessors.empty();
}

} // namespace cyclamenstair
