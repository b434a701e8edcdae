#pragma once

#include <Cyclamenstair/Core/EnumNames.h>
#include <Cyclamenstair/Telemetry/FixedLine.h>

#include <cstdint>

namespace cyclamenstair {

/// Reason for the end of a process.
enum class EndReason : uint8_t {
    Stopped,
    StartCancelled,
    NotStarted,
    InvalidArguments,
    InvalidSettings,
    Exception, ///< An exception left the work of the main thread.
    Terminated, ///< std::terminate was called, for example because an exception left another thread.
    FatalSignal,
};

template <> struct EnumNames<EndReason> {
    static constexpr auto table = std::to_array<EnumName<EndReason>>({
        { EndReason::Stopped, "stopped" },
        { EndReason::StartCancelled, "start_cancelled" },
        { EndReason::NotStarted, "not_started" },
        { EndReason::InvalidArguments, "invalid_arguments" },
        { EndReason::InvalidSettings, "invalid_settings" },
        { EndReason::Exception, "exception" },
        { EndReason::Terminated, "terminated" },
        { EndReason::FatalSignal, "fatal_signal" },
    });
};

/// The log line `process_ended`. Allocates nothing and takes no lock.
class ProcessEndLine {
public:
    /// `status` is the exit status, or 128 + N for signal N.
    ProcessEndLine(EndReason reason, int status);

    FixedLine& fields() { return m_line; }

    /// Writes the line to standard output if the log is configured, else to standard error; to the other one if the
    /// first does not take it at once. Of the lines about std::terminate and fatal signals, a process writes only the
    /// first: std::terminate raises SIGABRT.
    void write();

private:
    EndReason m_reason;
    FixedLine m_line;
};

/// Writes the line `process_ended`, with `message` as a field if it is not empty.
void logProcessEnd(EndReason reason, int status, std::string_view message = {});

} // namespace cyclamenstair
