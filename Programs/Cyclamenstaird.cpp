#include <Cyclamenstair/Core/Overloaded.h>
#include <Cyclamenstair/Settings/SettingsReader.h>
#include <Cyclamenstair/Telemetry/FatalSignals.h>
#include <Cyclamenstair/Telemetry/Log.h>
#include <Cyclamenstair/Telemetry/ProcessEnd.h>
#include <Programs/NodeStarter.h>
#include <Programs/StandardStreams.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>

namespace {

constexpr int exitOk = 0;
constexpr int exitFailure = 1;
constexpr int exitUsage = 2;

/// Time that the end of the process waits for the reader of the log.
constexpr auto maxLogFlushTime = std::chrono::milliseconds(200);

using namespace cyclamenstair;

/// Returns the signals that the daemon waits for in its main thread.
sigset_t handledSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int signal : { SIGTERM, SIGINT, SIGHUP })
        sigaddset(&signals, signal);
    return signals;
}

/// Blocks the signals that the daemon handles in this thread and all threads started later. They are handled once the
/// node has started.
void blockSignals(int, char**, char**)
{
    const auto signals = handledSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

// Runs before the constructors of all libraries: until the signals are blocked, SIGHUP ends the process.
[[gnu::section(".preinit_array"), gnu::used]] void (*earlyInitializer)(int, char**, char**) = blockSignals;

/// Reloads the settings. A node in mode Registered applies only the log level; its other settings need a restart.
void reloadSettings(const RunningNode& running, const std::string& path)
{
    const auto settings = SettingsReader::createFromFile(path);
    if (!settings) {
        logError(LogSeverity::Error, "settings_not_reloaded", settings.error());
        return;
    }
    std::visit(Overloaded {
                   [&](const std::unique_ptr<Node>& node) { node->reload(settings.value()); },
                   [&](const std::unique_ptr<EntryNode>&) {
                       configureLog(static_cast<LogSeverity>(settings.value().log->level));
                       logEvent(LogSeverity::Info, "settings_reloaded", { { "file", path } });
                   },
               },
        running);
}

EndReason runNode(const schema::SettingsT& settings, const std::string& path, const sigset_t& signals)
{
    configureLog(static_cast<LogSeverity>(settings.log->level));
    auto started = NodeStarter(settings, path, signals).start();
    if (!started) {
        logError(LogSeverity::Error, "node_not_started", started.error());
        return EndReason::NotStarted;
    }
    if (!started.value())
        return EndReason::StartCancelled;
    auto& node = *started.value();
    int receivedSignal = 0;
    while (sigwait(&signals, &receivedSignal) == 0 && receivedSignal == SIGHUP)
        reloadSettings(node, path);
    std::visit([](const auto& running) { running->stop(); }, node);
    return EndReason::Stopped;
}

/// Writes the last line of the process, without waiting for a stalled reader of standard output. Returns `status`.
int reportEnd(EndReason reason, int status, std::string_view message = {})
{
    (void)flushLog(maxLogFlushTime);
    logProcessEnd(reason, status, message);
    return status;
}

} // namespace

int main(int argc, char** argv)
{
    const AlternateSignalStack alternateStack;
    installFatalSignalHandlers();
    ignoreOutputSignals();
    cxxopts::Options options("cyclamenstaird", "Daemon of an entry VM: routes callers' requests to targets.");
    options.add_options()("config", "Settings file (INI)", cxxopts::value<std::string>())(
        "check", "Check the settings and exit")("print-defaults", "Print all settings with their defaults and exit")(
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
        if (!arguments.count("config")) {
            std::cerr << "cyclamenstaird: --config FILE is required\n";
            return reportEnd(EndReason::InvalidArguments, exitUsage, "--config FILE is required");
        }
        const auto settings = SettingsReader::createFromFile(arguments["config"].as<std::string>());
        if (!settings) {
            std::cerr << "cyclamenstaird: " << settings.error().describe() << "\n";
            return reportEnd(EndReason::InvalidSettings, exitUsage, settings.error().describe());
        }
        if (arguments.count("check")) {
            std::cout << "settings are valid\n";
            return exitOk;
        }
        const auto reason = runNode(settings.value(), arguments["config"].as<std::string>(), handledSignals());
        std::_Exit(reportEnd(reason, reason == EndReason::NotStarted ? exitFailure : exitOk));
    } catch (const cxxopts::exceptions::exception& exception) {
        std::cerr << "cyclamenstaird: " << exception.what() << "\n";
        return reportEnd(EndReason::InvalidArguments, exitUsage, exception.what());
    } catch (const std::exception& exception) {
        std::cerr << "cyclamenstaird: " << exception.what() << "\n";
        return reportEnd(EndReason::Exception, exitFailure, exception.what());
    }
}
