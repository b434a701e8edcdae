#include <Cyclamenstair/Telemetry/ProcessEnd.h>

#include <Cyclamenstair/Telemetry/ProcessInfo.h>

#include <atomic>
#include <ctime>
#include <sys/types.h>
#include <unistd.h>

namespace cyclamenstair {

namespace {

    /// Thread that writes the line about std::terminate or a fatal signal; 0 before.
    std::atomic<pid_t> reportingThread { 0 };

    /// Time that another thread which ends the process waits for the line of the first one.
    constexpr timespec maxLineWait { 0, 100'000'000 };

    LogSeverity severityOf(EndReason reason)
    {
        return reason == EndReason::Stopped || reason == EndReason::StartCancelled ? LogSeverity::Info
                                                                                   : LogSeverity::Error;
    }

} // namespace

ProcessEndLine::ProcessEndLine(EndReason reason, int status)
    : m_reason(reason)
{
    m_line.append("time=");
    m_line.appendTime(std::chrono::system_clock::now());
    m_line.appendField("level", nameOf(severityOf(reason)));
    m_line.appendField("event", "process_ended");
    m_line.appendField("reason", nameOf(reason));
    m_line.appendField("status", static_cast<uint64_t>(status));
    m_line.appendField("uptime_ms", static_cast<uint64_t>(toMilliseconds(processUptime())));
    m_line.appendField("pid", static_cast<uint64_t>(::getpid()));
    m_line.appendField("build", processBuild());
}

void ProcessEndLine::write()
{
    pid_t otherThread = 0;
    const bool isUnplanned = m_reason == EndReason::Terminated || m_reason == EndReason::FatalSignal;
    if (isUnplanned && !reportingThread.compare_exchange_strong(otherThread, ::gettid())) {
        if (otherThread != ::gettid())
            ::nanosleep(&maxLineWait, nullptr);
        return;
    }
    const int first = isLogConfigured() ? STDOUT_FILENO : STDERR_FILENO;
    const int second = isLogConfigured() ? STDERR_FILENO : STDOUT_FILENO;
    if (!m_line.write(first))
        (void)m_line.write(second);
}

void logProcessEnd(EndReason reason, int status, std::string_view message)
{
    ProcessEndLine line(reason, status);
    if (!message.empty())
        line.fields().appendField("message", message);
    line.write();
}

} // namespace cyclamenstair
