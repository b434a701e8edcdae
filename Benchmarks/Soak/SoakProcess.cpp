#include <Benchmarks/Soak/SoakProcess.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <sstream>

namespace cyclamenstair {

namespace {

    constexpr int signalBase = 128; ///< Of the status of a process that a signal terminated.

    /// Default of entry.grace_s, and a margin for a machine with more runnable threads than cores.
    constexpr auto gracePeriod = milliseconds(8000);
    constexpr auto graceMargin = milliseconds(3000);

    /// Returns whether the process blocks, ignores or catches the signal, as its own code does before anything else.
    bool isPrepared(pid_t id, int number)
    {
        std::ifstream file("/proc/" + std::to_string(id) + "/status");
        const uint64_t bit = uint64_t { 1 } << static_cast<unsigned>(number - 1);
        for (std::string line; std::getline(file, line);) {
            if (!line.starts_with("SigBlk:") && !line.starts_with("SigIgn:") && !line.starts_with("SigCgt:"))
                continue;
            std::istringstream text(line.substr(line.find(':') + 1));
            uint64_t mask = 0;
            if (text >> std::hex >> mask && (mask & bit) != 0)
                return true;
        }
        return false;
    }

} // namespace

SoakProcess::SoakProcess(
    const std::string& program, const std::vector<std::string>& arguments, const std::string& logPath)
    : m_process(program, arguments, logPath)
    , m_id(m_process.id())
    , m_startedAt(monotonicNow())
{
}

void SoakProcess::sendSignal(int number)
{
    if (m_process.hasExited())
        return;
    const auto now = monotonicNow();
    if ((number == SIGHUP || number == SIGTERM) && !isPrepared(m_id, number))
        m_earlySignals.push_back(number);
    if (number == SIGTERM && !m_terminatedAt)
        m_terminatedAt = now;
    m_isKilled = m_isKilled || number == SIGKILL;
    if (number == SIGSTOP)
        m_isFrozen = true;
    if (number == SIGCONT) {
        m_isFrozen = false;
        m_continuedAt = now;
    }
    m_process.sendSignal(number);
}

std::optional<SoakEnd> SoakProcess::takeEnd()
{
    if (m_isEndTaken)
        return std::nullopt;
    if (!m_process.hasExited()) {
        if (!isOverdue(monotonicNow()))
            return std::nullopt;
        m_isEndTaken = true;
        const auto description = describe("no end in time");
        m_process.sendSignal(SIGKILL);
        return SoakEnd { SoakVerdict::WrongEnd, description };
    }
    m_isEndTaken = true;
    const int status = m_process.wait(0).value_or(-1);
    return SoakEnd { judge(status),
        describe(status > signalBase ? "signal " + std::to_string(status - signalBase)
                                     : "status " + std::to_string(status)) };
}

bool SoakProcess::isOverdue(TimePoint now) const
{
    if (!m_terminatedAt || m_isFrozen)
        return false;
    return std::max(*m_terminatedAt, m_continuedAt.value_or(*m_terminatedAt)) + gracePeriod + graceMargin < now;
}

SoakVerdict SoakProcess::judge(int status) const
{
    if ((m_terminatedAt && status == 0) || (m_isKilled && status == signalBase + SIGKILL))
        return SoakVerdict::Expected;
    if (std::find(m_earlySignals.begin(), m_earlySignals.end(), status - signalBase) != m_earlySignals.end())
        return SoakVerdict::BeforeSign;
    return isToldToEnd() ? SoakVerdict::WrongEnd : SoakVerdict::ByItself;
}

std::string SoakProcess::describe(const std::string& end) const
{
    const auto now = monotonicNow();
    std::ostringstream text;
    text << "process " << m_id << ", " << end << ", " << toMilliseconds(now - m_startedAt) << " ms after its start";
    if (m_terminatedAt)
        text << ", " << toMilliseconds(now - *m_terminatedAt) << " ms after SIGTERM";
    if (m_isKilled)
        text << ", killed";
    return text.str();
}

} // namespace cyclamenstair
