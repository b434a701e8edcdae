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
    m_isEndExpected = false;
    m_process = std::make_unique<testing::ChildProcess>(
        "Programs/cyclamenstaird", std::vector<std::string> { "--config", m_settingsPath }, m_logPath);
}

void SoakNode::signal(int number, bool endsProcess)
{
    std::lock_guard lock(m_mutex);
    m_disturbedAt = monotonicNow();
    m_isEndExpected = m_isEndExpected || endsProcess;
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
    return m_isEndExpected || !m_predecessors.empty();
}

bool SoakNode::restartIfEnded()
{
    bool isUnexpected = false;
    {
        std::lock_guard lock(m_mutex);
        // The successor serves only once its predecessor has ended.
        if (!m_predecessors.empty())
            m_disturbedAt = monotonicNow();
        std::erase_if(m_predecessors, [](const auto& predecessor) { return predecessor->hasExited(); });
        if (!m_process->hasExited())
            return false;
        isUnexpected = !m_isEndExpected;
    }
    start();
    return isUnexpected;
}

} // namespace cyclamenstair
