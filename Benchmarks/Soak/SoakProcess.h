#pragma once

#include <Benchmarks/Soak/SoakThrottle.h>

#include <Cyclamenstair/Core/EnumNames.h>
#include <Cyclamenstair/Core/Time.h>

#include <Tests/Support/ProcessFleet.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenstair {

/// Verdicts on the end of a process.
enum class SoakVerdict : uint8_t {
    Expected, ///< Status 0 after SIGTERM, or signal 9 after SIGKILL.
    ByItself, ///< The process was not told to end.
    WrongEnd, ///< The process was told to end, and ended with another status, or not in time.
    BeforeSign, ///< By the default action of a signal that arrived before the process had blocked it.
};

template <> struct EnumNames<SoakVerdict> {
    static constexpr auto table = std::to_array<EnumName<SoakVerdict>>({
        { SoakVerdict::Expected, "expected" },
        { SoakVerdict::ByItself, "by_itself" },
        { SoakVerdict::WrongEnd, "wrong_end" },
        { SoakVerdict::BeforeSign, "before_sign" },
    });
};

/// End of a process.
struct SoakEnd {
    SoakVerdict verdict { SoakVerdict::Expected };
    std::string description; ///< The exit status, and what the process was told before.
};

/// Limits of a process, as its VM sets them.
struct SoakLimits {
    std::optional<size_t> maxDescriptors;
    std::optional<uint64_t> maxResidentBytes; ///< Checked, not enforced.
    std::optional<double> cpuShare; ///< Of a core.
    SoakThrottle* throttle { nullptr }; ///< Enforces the share; not owned. Required by `cpuShare`.
};

/// A named pipe that nobody reads. What is in it is added to a log at the end.
class UnreadPipe {
public:
    explicit UnreadPipe(const std::string& logPath);
    ~UnreadPipe();
    UnreadPipe(const UnreadPipe&) = delete;
    UnreadPipe& operator=(const UnreadPipe&) = delete;

    const std::string& path() const { return m_path; }

    /// Adds what is in the pipe to the log and closes its only reading end, after which writes fail.
    void close();

private:
    std::string m_logPath;
    std::string m_path;
    int m_descriptor { -1 };
};

/// A process of a soak and the signals that it was sent. Not thread-safe.
class SoakProcess {
public:
    /// If `isOutputRead` is false, nobody reads the output until the process has ended, which blocks its writes once a
    /// small pipe is full. Throws std::runtime_error if a limit cannot be set.
    SoakProcess(const std::string& program, const std::vector<std::string>& arguments, const std::string& logPath,
        bool isOutputRead, const SoakLimits& limits = {}, const std::map<std::string, std::string>& variables = {});
    ~SoakProcess();
    SoakProcess(const SoakProcess&) = delete;
    SoakProcess& operator=(const SoakProcess&) = delete;

    pid_t id() const { return m_id; }
    TimePoint startedAt() const { return m_startedAt; }

    /// Returns whether the process has ended, also if takeEnd() has not returned its end yet.
    bool hasEnded() { return m_process.hasExited(); }

    void sendSignal(int number);

    /// Returns whether the process was told to end.
    bool isToldToEnd() const { return m_terminatedAt || m_isKilled; }

    /// Makes writes to an output that nobody reads fail.
    void breakOutput();

    /// Returns whether the process blocks, ignores or catches the signal, as its own code does before anything else.
    bool isPrepared(int number) const;

    /// Returns the largest resident memory so far, in bytes, as of the last samples.
    uint64_t maxResidentBytes();

    /// Returns a description once if the resident memory exceeds its limit, as of the last samples.
    std::optional<std::string> takeMemoryExcess();

    /// Returns the end of the process once; no value while it runs and after that. A process that has not ended in
    /// time after SIGTERM is killed.
    std::optional<SoakEnd> takeEnd();

private:
    bool isOverdue(TimePoint now) const;
    SoakVerdict judge(int status) const;
    std::string describe(const std::string& end) const;

    std::unique_ptr<UnreadPipe> m_output; ///< Null if the output goes to the log.
    SoakLimits m_limits;
    testing::ChildProcess m_process;
    pid_t m_id;
    TimePoint m_startedAt;
    std::optional<TimePoint> m_terminatedAt; ///< Time of the first SIGTERM.
    std::optional<TimePoint> m_continuedAt; ///< Time of the last SIGCONT.
    bool m_isKilled { false };
    bool m_isFrozen { false };
    std::vector<int> m_earlySignals; ///< Sent before the process blocked them.
    bool m_isEndTaken { false };
    bool m_isMemoryExcessTaken { false };
    uint64_t m_maxResidentBytes { 0 };
    TimePoint m_sampledAt {};
};

} // namespace cyclamenstair
