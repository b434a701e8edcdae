#include <Benchmarks/Soak/SoakNode.h>

#include <StandIns/LoopbackPort.h>

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
}

bool SoakNode::isStopping()
{
    std::lock_guard lock(m_mutex);
    return m_isEndExpected;
}

bool SoakNode::restartIfEnded()
{
    bool isUnexpected = false;
    {
        std::lock_guard lock(m_mutex);
        if (!m_process->hasExited())
            return false;
        isUnexpected = !m_isEndExpected;
    }
    start();
    return isUnexpected;
}

} // namespace cyclamenstair
