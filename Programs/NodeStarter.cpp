#include <Programs/NodeStarter.h>

#include <Cyclamenstair/Telemetry/Log.h>
#include <Programs/SettingsDigest.h>

#include <boost/system/system_error.hpp>

#include <algorithm>
#include <cerrno>
#include <ctime>
#include <new>
#include <set>
#include <string>
#include <system_error>

namespace cyclamenstair {

namespace {

    Error lackOfResources(const std::exception& exception)
    {
        return { ErrorKind::Unavailable, "node.resources", {}, exception.what() };
    }

} // namespace

NodeStarter::NodeStarter(SettingsFile file, const sigset_t& signals)
    : m_file(std::move(file))
    , m_signals(signals)
{
}

Result<bool> NodeStarter::startLog()
{
    const auto deadline = monotonicNow() + maxRetryTime;
    for (auto pause = minPause;; pause = std::min(2 * pause, maxPause)) {
        try {
            // Until the settings name the level, lines are written at the default one.
            configureLog(LogSeverity::Info);
            return true;
        } catch (const boost::system::system_error& exception) {
            if (monotonicNow() + pause > deadline)
                return lackOfResources(exception);
        } catch (const std::bad_alloc& exception) {
            if (monotonicNow() + pause > deadline)
                return lackOfResources(exception);
        }
        const auto signal = waitForSignal(pause);
        if (signal && *signal != SIGHUP)
            return false;
    }
}

Result<bool> NodeStarter::readSettings(Duration maxWait)
{
    const auto deadline = monotonicNow() + maxWait;
    auto pause = minPause;
    std::set<std::string> loggedReasons;
    for (;;) {
        auto settings = load();
        if (settings) {
            applySettings(std::move(settings).value());
            return true;
        }
        const auto& error = settings.error();
        if (monotonicNow() + pause > deadline)
            return error;
        if (loggedReasons.insert(error.describe()).second)
            logError(LogSeverity::Warning, "settings_not_ready", error);
        const auto signal = waitForSignal(pause);
        if (signal && *signal != SIGHUP) {
            logEvent(LogSeverity::Info, "node_start_cancelled", { { "signal", std::to_string(*signal) } });
            return false;
        }
        pause = std::min(2 * pause, maxPause);
    }
}

Result<std::optional<RunningNode>> NodeStarter::start()
{
    const auto deadline = monotonicNow() + maxRetryTime;
    auto pause = minPause;
    for (int attempt = 1;; ++attempt) {
        m_start.attempts = attempt;
        auto node = create();
        if (node)
            return std::optional(std::move(node).value());
        const bool mayPass = node.error().kind == ErrorKind::Unavailable;
        if (!mayPass || monotonicNow() + pause > deadline)
            return node.error();
        logRefusal(node.error(), attempt);
        if (!waitForNextAttempt(pause))
            return std::optional<RunningNode>();
        pause = std::min(2 * pause, maxPause);
    }
}

Result<RunningNode> NodeStarter::create() const
{
    try {
        if (m_settings.node->mode == schema::NodeMode::Registered)
            return RunningNode(EntryNode::create(m_settings, m_start).value());
        return RunningNode(Node::create(m_settings, m_start).value());
    } catch (const Exception& exception) {
        return exception.error();
    } catch (const std::system_error& exception) {
        return lackOfResources(exception);
    } catch (const boost::system::system_error& exception) {
        return lackOfResources(exception);
    } catch (const std::bad_alloc& exception) {
        return lackOfResources(exception);
    }
}

void NodeStarter::logRefusal(const Error& error, int attempt)
{
    if (m_loggedRefusal == error.describe())
        return;
    m_loggedRefusal = error.describe();
    logEvent(LogSeverity::Warning, "node_start_retried",
        { { "step", error.step }, { "peer", error.peer }, { "message", error.message },
            { "attempt", std::to_string(attempt) } });
}

std::optional<int> NodeStarter::waitForSignal(Duration pause) const
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(pause);
    const auto rest = std::chrono::duration_cast<std::chrono::nanoseconds>(pause - seconds);
    const timespec timeout { static_cast<time_t>(seconds.count()), static_cast<long>(rest.count()) };
    const int signal = sigtimedwait(&m_signals, nullptr, &timeout);
    return signal < 0 ? std::nullopt : std::optional(signal);
}

bool NodeStarter::waitForNextAttempt(Duration pause)
{
    const auto signal = waitForSignal(pause);
    if (!signal || *signal == SIGHUP) {
        // The file may also change without a signal.
        if (signal || hasFileChanged())
            reloadSettings();
        return true;
    }
    logEvent(LogSeverity::Info, "node_start_cancelled", { { "signal", std::to_string(*signal) } });
    return false;
}

Result<schema::SettingsT> NodeStarter::load()
{
    try {
        // Before the read, so that a change during it is seen afterwards.
        m_lastRead = describeSettings(m_file.path());
    } catch (const std::bad_alloc& exception) {
        return lackOfResources(exception);
    }
    return m_file.read();
}

bool NodeStarter::hasFileChanged() const
{
    try {
        const auto file = describeSettings(m_file.path());
        return !file.settingsHash.empty() && file.settingsHash != m_lastRead.settingsHash;
    } catch (const std::bad_alloc&) {
        // The next attempt looks again.
        return false;
    }
}

void NodeStarter::reloadSettings()
{
    auto settings = load();
    if (!settings) {
        logError(LogSeverity::Error, "settings_not_reloaded", settings.error());
        return;
    }
    applySettings(std::move(settings).value());
    logEvent(LogSeverity::Info, "settings_reloaded", { { "file", m_file.path() } });
}

void NodeStarter::applySettings(schema::SettingsT settings)
{
    m_settings = std::move(settings);
    m_start = m_lastRead;
    configureLog(static_cast<LogSeverity>(m_settings.log->level));
}

} // namespace cyclamenstair
