#pragma once

#include <Cyclamenstair/Core/EnumNames.h>
#include <Cyclamenstair/Core/Time.h>

#include <Tests/Support/ProcessFleet.h>

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

/// A process of a soak and the signals that it was sent. Not thread-safe.
class SoakProcess {
public:
    SoakProcess(const std::string& program, const std::vector<std::string>& arguments, const std::string& logPath);

    void sendSignal(int number);

    /// Returns whether the process was told to end.
    bool isToldToEnd() const { return m_terminatedAt || m_isKilled; }

    /// Returns the end of the process once; no value while it runs and after that. A process that has not ended in
    /// time after SIGTERM is killed.
    std::optional<SoakEnd> takeEnd();

private:
    bool isOverdue(TimePoint now) const;
    SoakVerdict judge(int status) const;
    std::string describe(const std::string& end) const;

    testing::ChildProcess m_process;
    pid_t m_id;
    TimePoint m_startedAt;
    std::optional<TimePoint> m_terminatedAt; ///< Time of the first SIGTERM.
    std::optional<TimePoint> m_continuedAt; ///< Time of the last SIGCONT.
    bool m_isKilled { false };
    bool m_isFrozen { false };
    std::vector<int> m_earlySignals; ///< Sent before the process blocked them.
    bool m_isEndTaken { false };
};

} // namespace cyclamenstair
