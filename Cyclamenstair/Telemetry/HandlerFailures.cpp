#include <Cyclamenstair/Telemetry/HandlerFailures.h>

#include <Cyclamenstair/Telemetry/Log.h>
#include <Cyclamenstair/Telemetry/LogLosses.h>

#include <atomic>
#include <exception>

namespace cyclamenstair {

namespace {

    std::atomic<uint64_t> failureCount { 0 };

} // namespace

void logCurrentException(std::string_view event) noexcept
{
    try {
        try {
            throw;
        } catch (const std::exception& exception) {
            logEvent(LogSeverity::Error, event, { { "message", exception.what() } });
        } catch (...) {
            logEvent(LogSeverity::Error, event, { { "message", "unknown exception" } });
        }
    } catch (...) {
        countLogLoss(LogLoss::Exception);
    }
}

void logHandlerFailure() noexcept
{
    ++failureCount;
    logCurrentException("handler_failed");
}

uint64_t handlerFailureCount() noexcept { return failureCount; }

} // namespace cyclamenstair
