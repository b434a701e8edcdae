#include <Cyclamenstair/Http/HandlerFailure.h>

#include <Cyclamenstair/Telemetry/Log.h>

#include <exception>

namespace cyclamenstair {

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
        // Without memory for the line, the caller goes on without it.
    }
}

} // namespace cyclamenstair
