#include <Cyclamenstair/Telemetry/StandardOutputBackend.h>

#include <Cyclamenstair/Telemetry/LogLosses.h>

#include <cerrno>
#include <poll.h>
#include <unistd.h>

namespace cyclamenstair {

namespace {

    /// Losses that the next line reports. Suppressed lines are reported by logEvent().
    uint64_t lossCount()
    {
        return logLossCount(LogLoss::QueueFull) + logLossCount(LogLoss::WriteFailed) + logLossCount(LogLoss::Exception);
    }

    /// Returns the number of bytes that were written; fewer than the text has after an error.
    size_t writeToStandardOutput(const std::string& text)
    {
        size_t written = 0;
        while (written < text.size()) {
            const auto count = ::write(STDOUT_FILENO, text.data() + written, text.size() - written);
            if (count > 0) {
                written += static_cast<size_t>(count);
                continue;
            }
            if (count < 0 && errno == EAGAIN) {
                pollfd state { STDOUT_FILENO, POLLOUT, 0 };
                ::poll(&state, 1, -1);
                continue;
            }
            if (count == 0 || errno != EINTR)
                break;
        }
        return written;
    }

} // namespace

void StandardOutputBackend::consume(const boost::log::record_view&, const std::string& line)
{
    const auto losses = lossCount();
    std::string text = m_isLineCut ? "\n" + line : line;
    if (losses > m_reportedLosses)
        text += " dropped=" + std::to_string(losses - m_reportedLosses);
    text += '\n';
    const auto written = writeToStandardOutput(text);
    if (written < text.size()) {
        countLogLoss(LogLoss::WriteFailed);
        m_isLineCut = m_isLineCut || written > 0;
        return;
    }
    m_isLineCut = false;
    m_reportedLosses = losses;
}

} // namespace cyclamenstair
