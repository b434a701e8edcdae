#pragma once

#include <Cyclamenstair/Core/EnumNames.h>
#include <Cyclamenstair/Core/Error.h>

#include <cstdint>
#include <initializer_list>
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

/// Name and value of one field of a log line.
struct LogField {
    std::string_view name;
    std::string value;
};

/// Sets up output to the standard output stream; lines below `lowest` are dropped. Can be called again to change the
/// level.
void configureLog(LogSeverity lowest);

/// Writes one structured line: time, severity, event and fields as key=value. Callers' texts and secrets must not be
/// passed. Warnings and errors that repeat are limited; the next line tells how many were suppressed.
void logEvent(LogSeverity severity, std::string_view event, std::initializer_list<LogField> fields = {});

/// Writes one line about a request, which begins with its id. Above a rate for the process such lines are dropped; the
/// next one that is written tells how many.
void logRequestEvent(const std::string& requestId, std::string_view event, std::initializer_list<LogField> fields = {});

/// Writes a line with the kind, step, peer and message of `error`.
void logError(LogSeverity severity, std::string_view event, const Error& error);

} // namespace cyclamenstair
