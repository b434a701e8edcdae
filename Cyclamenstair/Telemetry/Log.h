#pragma once

#include <Cyclamenstair/Core/EnumNames.h>
#include <Cyclamenstair/Core/Error.h>
#include <Cyclamenstair/Core/Time.h>

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace cyclamenstair {

/// Severity of a log line.
enum class LogSeverity : uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

template <> struct EnumNames<LogSeverity> {
    static constexpr auto table = std::to_array<EnumName<LogSeverity>>({
        { LogSeverity::Debug, "debug" },
        { LogSeverity::Info, "info" },
        { LogSeverity::Warning, "warning" },
        { LogSeverity::Error, "error" },
    });
};

/// Field of a log line.
struct LogField {
    std::string_view name;
    std::string value;
};

/// Configures logging to standard output. Lines below `minSeverity` are dropped. Can be called again to change the
/// level. A thread of the log writes the lines; lines are dropped while too many wait for a slow reader, or when they
/// cannot be written. The next line tells their number (`dropped`).
void configureLog(LogSeverity minSeverity);

/// Returns whether configureLog() has been called. Usable in a signal handler.
bool isLogConfigured();

/// Drops all lines from now on. For programs whose standard output is their result.
void disableLog();

/// Waits until all lines are written, at most for `timeout`. Returns whether they are; false if no thread can be
/// started.
bool flushLog(Duration timeout) noexcept;

/// Writes a structured line: time, severity, event and fields as key=value pairs. Fields must not contain secrets or
/// texts of callers' requests. Repeated warnings and errors are rate-limited; the next line reports how many were
/// suppressed. Never throws, as it is called where exceptions are handled: a line that cannot be formatted is dropped.
void logEvent(LogSeverity severity, std::string_view event, std::initializer_list<LogField> fields = {}) noexcept;

/// Same as logEvent(), for fields that are put together at run time.
void logEventFields(LogSeverity severity, std::string_view event, std::span<const LogField> fields) noexcept;

/// Writes a line about a request, with the request id as its first field. Such lines are dropped above a limit per
/// second for the whole process; the next line reports how many were dropped.
void logRequestEvent(
    const std::string& requestId, std::string_view event, std::initializer_list<LogField> fields = {}) noexcept;

/// Writes a line with the kind, step, peer and message of `error` as fields.
void logError(LogSeverity severity, std::string_view event, const Error& error) noexcept;

} // namespace cyclamenstair
