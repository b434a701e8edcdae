#pragma once

#include <Cyclamenstair/Core/EnumNames.h>

#include <cstdint>

namespace cyclamenstair {

/// Cause of the loss of a log line.
enum class LogLoss : uint8_t {
    RateLimited, ///< Reported in the field `suppressed` of the next line of the same kind.
    QueueFull, ///< The reader of standard output is too slow.
    WriteFailed, ///< Standard output returned an error, for example because the disk is full.
    Exception, ///< The line could not be formatted or queued, for example for lack of memory.
};

template <> struct EnumNames<LogLoss> {
    static constexpr auto table = std::to_array<EnumName<LogLoss>>({
        { LogLoss::RateLimited, "rate_limited" },
        { LogLoss::QueueFull, "queue_full" },
        { LogLoss::WriteFailed, "write_failed" },
        { LogLoss::Exception, "exception" },
    });
};

/// Counts the loss of a line. Thread-safe.
void countLogLoss(LogLoss cause) noexcept;

/// Returns the number of lines of this process that were lost by `cause`.
uint64_t logLossCount(LogLoss cause) noexcept;

} // namespace cyclamenstair
