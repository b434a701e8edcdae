#include <Cyclamenstair/Telemetry/Log.h>

#include <Cyclamenstair/Telemetry/LogLimiter.h>
#include <Cyclamenstair/Telemetry/LogLosses.h>
#include <Cyclamenstair/Telemetry/LogValue.h>
#include <Cyclamenstair/Telemetry/StandardOutputBackend.h>

#include <atomic>
#include <future>
#include <mutex>
#include <thread>

#include <boost/date_time/posix_time/posix_time.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/smart_ptr/make_shared_object.hpp>

namespace cyclamenstair {

namespace {

    /// Longer values are cut. Callers can send 16 KB in one field, and maxWaitingLines lines of them took 63 MB.
    constexpr size_t maxValueBytes = 2048;

    void appendValue(std::string& text, std::string_view value)
    {
        formatLogValue(value.substr(0, maxValueBytes), [&](char c) { text += c; });
        if (value.size() > maxValueBytes)
            text += "...";
    }

    /// Limit of the lines about requests per process: ten lines each for 100 requests per second.
    constexpr LogLimiterSettings requestLogLimit { 1000, std::chrono::seconds(1), 16 };

    /// Lines that wait for the reader of standard output; further ones are dropped.
    constexpr size_t maxWaitingLines = 4096;

    std::atomic<bool> isConfigured { false };

    /// Lines below it are dropped before they are formatted. No filter of Boost.Log is used, whose replacement by a
    /// reload the thread sanitizer cannot follow.
    std::atomic<LogSeverity> minLoggedSeverity { LogSeverity::Debug };

    /// Drops and counts the lines that find the queue full.
    struct CountOverflow : boost::log::sinks::drop_on_overflow {
        template <typename Lock>
        // NOLINTNEXTLINE(readability-identifier-naming): Boost.Log calls it by this name.
        static bool on_overflow(const boost::log::record_view& record, Lock& lock)
        {
            countLogLoss(LogLoss::QueueFull);
            return drop_on_overflow::on_overflow(record, lock);
        }
    };

    using LogSink = boost::log::sinks::asynchronous_sink<StandardOutputBackend,
        boost::log::sinks::bounded_fifo_queue<maxWaitingLines, CountOverflow>>;

    /// Returns the sink. It is never destroyed: its thread can wait for a stalled reader at the end of the process.
    boost::shared_ptr<LogSink>& logSink()
    {
        static auto* s_sink = new boost::shared_ptr<LogSink>;
        return *s_sink;
    }

    void createLogSink()
    {
        logSink() = boost::make_shared<LogSink>(boost::make_shared<StandardOutputBackend>());
        // An exception that leaves the log's thread ends the process.
        logSink()->set_exception_handler([] { countLogLoss(LogLoss::Exception); });
        logSink()->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
        boost::log::core::get()->add_sink(logSink());
    }

    bool isLogged(LogSeverity severity) { return severity >= minLoggedSeverity.load(std::memory_order_relaxed); }

    void writeLine(const std::string& line)
    {
        static boost::log::sources::logger_mt s_logger;
        BOOST_LOG(s_logger) << line;
    }

    std::string formatLineStart(LogSeverity severity, std::string_view event)
    {
        std::string line = "time=";
        line += boost::posix_time::to_iso_extended_string(boost::posix_time::microsec_clock::universal_time());
        line.append("Z level=").append(nameOf(severity)).append(" event=").append(event);
        return line;
    }

    void appendFields(std::string& line, std::span<const LogField> fields, uint64_t suppressed)
    {
        for (const auto& field : fields) {
            line.append(" ").append(field.name).append("=");
            appendValue(line, field.value);
        }
        if (suppressed > 0)
            line += " suppressed=" + std::to_string(suppressed);
    }

    /// Calls `write`. Drops the line if it throws.
    template <typename Write> void dropOnException(const Write& write) noexcept
    {
        try {
            write();
        } catch (...) {
            countLogLoss(LogLoss::Exception);
        }
    }

} // namespace

void configureLog(LogSeverity minSeverity)
{
    static std::once_flag s_once;
    std::call_once(s_once, createLogSink);
    minLoggedSeverity = minSeverity;
    isConfigured = true;
}

bool isLogConfigured() { return isConfigured; }

void disableLog() { boost::log::core::get()->set_logging_enabled(false); }

bool flushLog(Duration timeout) noexcept
{
    if (!logSink())
        return true;
    try {
        auto done = std::make_shared<std::promise<void>>();
        auto isDone = done->get_future();
        // The thread outlives this call if the reader has stalled.
        std::thread([sink = logSink(), done] {
            sink->flush();
            done->set_value();
        }).detach();
        return isDone.wait_for(timeout) == std::future_status::ready;
    } catch (const std::exception&) {
        // Without a thread for the flush, the log's own thread gets the same time.
        std::this_thread::sleep_for(timeout);
        return false;
    }
}

void logEvent(LogSeverity severity, std::string_view event, std::initializer_list<LogField> fields) noexcept
{
    logEventFields(severity, event, fields);
}

void logEventFields(LogSeverity severity, std::string_view event, std::span<const LogField> fields) noexcept
{
    if (!isLogged(severity))
        return;
    dropOnException([&] {
        // Limits repeated faults, which would otherwise bury all other lines. The key is the event with its peer or
        // target.
        uint64_t suppressed = 0;
        if (severity >= LogSeverity::Warning) {
            static LogLimiter s_limiter;
            std::string key(event);
            for (const auto& field : fields) {
                if (field.name == "peer" || field.name == "target")
                    key += "/" + field.value;
            }
            const auto admitted = s_limiter.admit(key, monotonicNow());
            if (!admitted)
                return countLogLoss(LogLoss::RateLimited);
            suppressed = *admitted;
        }
        auto line = formatLineStart(severity, event);
        appendFields(line, fields, suppressed);
        writeLine(line);
    });
}

void logRequestEvent(
    const std::string& requestId, std::string_view event, std::initializer_list<LogField> fields) noexcept
{
    if (!isLogged(LogSeverity::Info))
        return;
    dropOnException([&] {
        static LogLimiter s_limiter(requestLogLimit);
        const auto suppressed = s_limiter.admit("request", monotonicNow());
        if (!suppressed)
            return countLogLoss(LogLoss::RateLimited);
        auto line = formatLineStart(LogSeverity::Info, event);
        line += " request=";
        appendValue(line, requestId);
        appendFields(line, fields, *suppressed);
        writeLine(line);
    });
}

void logError(LogSeverity severity, std::string_view event, const Error& error) noexcept
{
    dropOnException([&] {
        logEvent(severity, event,
            { { "kind", std::string(nameOf(error.kind)) }, { "step", error.step }, { "peer", error.peer },
                { "message", error.message } });
    });
}

} // namespace cyclamenstair
