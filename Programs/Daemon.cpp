#include <Programs/Daemon.h>

#include <Cyclamenstair/Core/Overloaded.h>
#include <Cyclamenstair/Settings/SettingsReader.h>
#include <Cyclamenstair/Telemetry/FatalSignals.h>
#include <Cyclamenstair/Telemetry/HandlerFailures.h>
#include <Cyclamenstair/Telemetry/Log.h>
#include <Cyclamenstair/Telemetry/ProcessEnd.h>
#include <Programs/BuildName.h>
#include <Programs/HandledSignals.h>
#include <Programs/NodeStarter.h>
#include <Programs/SettingsFile.h>
#include <Programs/StandardStreams.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>
#include <malloc.h>
#include <sys/resource.h>

namespace {

constexpr int exitOk = 0;
constexpr int exitFailure = 1;
constexpr int exitUsage = 2;

/// Time that the end of the process waits for the reader of the log.
constexpr auto maxLogFlushTime = std::chrono::milliseconds(200);

using namespace cyclamenstair;

/// Makes all threads allocate from one arena if the address space is limited. Further arenas reserve 64 to 128 MB each,
/// and glibc tries again to map one at each allocation of a thread for which there is no room.
void limitAllocatorArenas()
{
    rlimit limit {};
    if (::getrlimit(RLIMIT_AS, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY)
        (void)::mallopt(M_ARENA_MAX, 1);
}

/// Reads the settings again and applies those that need no restart.
void reloadSettings(const RunningNode& running, const SettingsFile& file)
{
    const auto settings = file.read();
    if (!settings) {
        logError(LogSeverity::Error, "settings_not_reloaded", settings.error());
        return;
    }
    std::visit(Overloaded {
                   [&](const std::unique_ptr<Node>& node) { node->reload(settings.value()); },
                   [&](const std::unique_ptr<EntryNode>& node) {
                       node->reload(settings.value());
                       logEvent(LogSeverity::Info, "settings_reloaded", { { "file", file.path() } });
                   },
               },
        running);
}

/// Reloads the settings. If that fails, for example for lack of memory, the node goes on with those that it has.
void tryReloadSettings(const RunningNode& running, const SettingsFile& file) noexcept
{
    try {
        reloadSettings(running, file);
    } catch (...) {
        logCurrentException("settings_not_reloaded");
    }
}

/// How the process ends.
struct ProcessOutcome {
    EndReason reason;
    int status;
    std::string message; ///< Of an error; may be empty.
};

/// Checks the file as strictly as its author should: also entries that a start only ignores are errors.
ProcessOutcome checkSettings(const std::string& path)
{
    if (const auto error = SettingsReader::checkFile(path)) {
        std::cerr << "cyclamenstaird: " << error->describe() << "\n";
        return { EndReason::InvalidSettings, exitUsage, error->describe() };
    }
    std::cout << "settings are valid\n";
    return { EndReason::Stopped, exitOk, {} };
}

ProcessOutcome runNode(const SettingsFile& file, Duration maxSettingsWait, const sigset_t& signals)
{
    NodeStarter starter(file, signals);
    const auto hasLog = starter.startLog();
    if (!hasLog) {
        std::cerr << "cyclamenstaird: " << hasLog.error().describe() << "\n";
        return { EndReason::NotStarted, exitFailure, hasLog.error().describe() };
    }
    if (!hasLog.value())
        return { EndReason::StartCancelled, exitOk, {} };
    const auto hasSettings = starter.readSettings(maxSettingsWait);
    if (!hasSettings) {
        std::cerr << "cyclamenstaird: " << hasSettings.error().describe() << "\n";
        logError(LogSeverity::Error, "node_not_started", hasSettings.error());
        return { EndReason::InvalidSettings, exitUsage, hasSettings.error().describe() };
    }
    if (!hasSettings.value())
        return { EndReason::StartCancelled, exitOk, {} };
    auto started = starter.start();
    if (!started) {
        logError(LogSeverity::Error, "node_not_started", started.error());
        return { EndReason::NotStarted, exitFailure, {} };
    }
    if (!started.value())
        return { EndReason::StartCancelled, exitOk, {} };
    auto& node = *started.value();
    int receivedSignal = 0;
    while (sigwait(&signals, &receivedSignal) == 0 && receivedSignal == SIGHUP)
        tryReloadSettings(node, file);
    std::visit([&](const auto& running) { running->stop(static_cast<ProcessSignal>(receivedSignal)); }, node);
    return { EndReason::Stopped, exitOk, {} };
}

/// Writes the last line of the process, without waiting for a stalled reader of standard output. Returns the status.
int reportEnd(const ProcessOutcome& outcome)
{
    (void)flushLog(maxLogFlushTime);
    logProcessEnd(outcome.reason, outcome.status, outcome.message);
    return outcome.status;
}

} // namespace

int runDaemon(int argc, char** argv)
{
    limitAllocatorArenas();
    const AlternateSignalStack alternateStack;
    installFatalSignalHandlers();
    setProcessBuild(buildName);
    ignoreOutputSignals();
    const auto defaultSettingsWait
        = std::to_string(std::chrono::duration_cast<std::chrono::seconds>(NodeStarter::defaultMaxSettingsWait).count());
    const auto otherSettings
        = std::string("that of $") + SettingsFile::pathVariable + ", else " + SettingsFile::defaultPath;
    cxxopts::Options options("cyclamenstaird", "Daemon of an entry VM: routes callers' requests to targets.");
    options.add_options()("config", "Settings file (INI); by default " + otherSettings, cxxopts::value<std::string>())(
        "settings-wait-s", "Time in seconds for which a start waits for complete settings",
        cxxopts::value<int>()->default_value(defaultSettingsWait))("check", "Check the settings and exit")(
        "print-defaults", "Print all settings with their defaults and exit")(
        "print-settings-reference", "Print the settings reference as Markdown and exit")("h,help", "Print this help");
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help")) {
            std::cout << options.help();
            return exitOk;
        }
        if (arguments.count("print-defaults")) {
            std::cout << SettingsReader::defaultsText();
            return exitOk;
        }
        if (arguments.count("print-settings-reference")) {
            std::cout << SettingsReader::referenceText();
            return exitOk;
        }
        const SettingsFile file(
            arguments.count("config") ? std::optional(arguments["config"].as<std::string>()) : std::nullopt);
        if (arguments.count("check")) {
            const auto outcome = checkSettings(file.preferredPath());
            return outcome.status == exitOk ? exitOk : reportEnd(outcome);
        }
        const std::chrono::seconds settingsWait(arguments["settings-wait-s"].as<int>());
        std::_Exit(reportEnd(runNode(file, settingsWait, handledSignals())));
    } catch (const cxxopts::exceptions::exception& exception) {
        std::cerr << "cyclamenstaird: " << exception.what() << "\n";
        return reportEnd({ EndReason::InvalidArguments, exitUsage, exception.what() });
    } catch (const std::exception& exception) {
        std::cerr << "cyclamenstaird: " << exception.what() << "\n";
        return reportEnd({ EndReason::Exception, exitFailure, exception.what() });
    }
}
