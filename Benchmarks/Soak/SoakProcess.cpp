#include <Benchmarks/Soak/SoakProcess.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

namespace cyclamenstair {

namespace {

    constexpr int signalBase = 128; ///< Of the status of a process that a signal terminated.

    /// Default of entry.grace_s, and a margin for a machine with more runnable threads than cores.
    constexpr auto gracePeriod = milliseconds(8000);
    constexpr auto graceMargin = milliseconds(3000);

    constexpr auto sampleInterval = milliseconds(200);
    constexpr uint64_t bytesPerKilobyte = 1024;
    constexpr uint64_t bytesPerMegabyte = 1024 * bytesPerKilobyte;

    /// Smallest pipe of the system, so that a write blocks after few lines.
    constexpr int pipeBytes = 4096;

    /// Returns the values of the lines of /proc/PID/status that begin with one of the names; none if the process has
    /// ended.
    std::vector<std::string> readProcessStatus(pid_t id, const std::vector<std::string>& names)
    {
        std::ifstream file("/proc/" + std::to_string(id) + "/status");
        std::vector<std::string> values;
        for (std::string line; std::getline(file, line);) {
            const auto colon = line.find(':');
            if (colon != std::string::npos
                && std::find(names.begin(), names.end(), line.substr(0, colon)) != names.end())
                values.push_back(line.substr(colon + 1));
        }
        return values;
    }

    /// Limits the descriptors of a process that has just been started. No effect if it has ended.
    void limitDescriptors(pid_t id, size_t count)
    {
        rlimit limit {};
        if (::prlimit(id, RLIMIT_NOFILE, nullptr, &limit) == 0) {
            limit.rlim_max = std::min<rlim_t>(limit.rlim_max, count);
            limit.rlim_cur = limit.rlim_max;
            if (::prlimit(id, RLIMIT_NOFILE, &limit, nullptr) == 0)
                return;
        }
        if (errno != ESRCH)
            throw std::runtime_error("cannot limit the descriptors of process " + std::to_string(id));
    }

} // namespace

UnreadPipe::UnreadPipe(const std::string& logPath)
    : m_logPath(logPath)
    , m_path(logPath + ".pipe")
{
    std::filesystem::remove(m_path);
    if (::mkfifo(m_path.c_str(), S_IRUSR | S_IWUSR) != 0)
        throw std::runtime_error("cannot create a pipe at " + m_path);
    m_descriptor = ::open(m_path.c_str(), O_RDWR | O_NONBLOCK | O_CLOEXEC);
    if (m_descriptor < 0 || ::fcntl(m_descriptor, F_SETPIPE_SZ, pipeBytes) < 0)
        throw std::runtime_error("cannot open the pipe at " + m_path);
}

UnreadPipe::~UnreadPipe()
{
    close();
    std::error_code ignored;
    std::filesystem::remove(m_path, ignored);
}

void UnreadPipe::close()
{
    if (m_descriptor < 0)
        return;
    std::array<char, pipeBytes> buffer {};
    std::ofstream log(m_logPath, std::ios::app);
    for (ssize_t size = 0; (size = ::read(m_descriptor, buffer.data(), buffer.size())) > 0;)
        log.write(buffer.data(), size);
    ::close(m_descriptor);
    m_descriptor = -1;
}

SoakProcess::SoakProcess(const std::string& program, const std::vector<std::string>& arguments,
    const std::string& logPath, bool isOutputRead, const SoakLimits& limits,
    const std::map<std::string, std::string>& variables)
    : m_output(isOutputRead ? nullptr : std::make_unique<UnreadPipe>(logPath))
    , m_limits(limits)
    , m_process(program, arguments, m_output ? m_output->path() : logPath, variables)
    , m_id(m_process.id())
    , m_startedAt(monotonicNow())
{
    if (limits.maxDescriptors)
        limitDescriptors(m_id, *limits.maxDescriptors);
    if (limits.cpuShare)
        limits.throttle->add(m_id, *limits.cpuShare);
}

SoakProcess::~SoakProcess()
{
    if (m_limits.cpuShare)
        m_limits.throttle->remove(m_id);
}

void SoakProcess::breakOutput()
{
    if (m_output)
        m_output->close();
}

bool SoakProcess::isPrepared(int number) const
{
    const uint64_t bit = uint64_t { 1 } << static_cast<unsigned>(number - 1);
    const auto masks = readProcessStatus(m_id, { "SigBlk", "SigIgn", "SigCgt" });
    return std::any_of(masks.begin(), masks.end(),
        [&](const std::string& mask) { return (std::stoull(mask, nullptr, 16) & bit) != 0; });
}

uint64_t SoakProcess::maxResidentBytes()
{
    const auto now = monotonicNow();
    if (now - m_sampledAt < sampleInterval || m_process.hasExited())
        return m_maxResidentBytes;
    m_sampledAt = now;
    for (const auto& value : readProcessStatus(m_id, { "VmHWM" }))
        m_maxResidentBytes = std::max<uint64_t>(m_maxResidentBytes, std::stoull(value) * bytesPerKilobyte);
    return m_maxResidentBytes;
}

std::optional<std::string> SoakProcess::takeMemoryExcess()
{
    if (m_isMemoryExcessTaken || !m_limits.maxResidentBytes || maxResidentBytes() <= *m_limits.maxResidentBytes)
        return std::nullopt;
    m_isMemoryExcessTaken = true;
    std::ostringstream text;
    text << "process " << m_id << ", " << m_maxResidentBytes / bytesPerMegabyte << " MiB resident of "
         << *m_limits.maxResidentBytes / bytesPerMegabyte << " MiB, " << toMilliseconds(monotonicNow() - m_startedAt)
         << " ms after its start";
    return text.str();
}

void SoakProcess::sendSignal(int number)
{
    if (m_process.hasExited())
        return;
    const auto now = monotonicNow();
    if ((number == SIGHUP || number == SIGTERM) && !isPrepared(number))
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
    // The throttle would continue a process that was frozen without its knowledge.
    if (m_limits.cpuShare && number == SIGSTOP)
        m_limits.throttle->freeze(m_id);
    else if (m_limits.cpuShare && number == SIGCONT)
        m_limits.throttle->thaw(m_id);
    else
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
