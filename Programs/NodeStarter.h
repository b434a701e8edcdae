#pragma once

#include <Cyclamenstair/Core/Time.h>
#include <Cyclamenstair/Entry/EntryNode.h>
#include <Cyclamenstair/Node/Node.h>
#include <Programs/SettingsFile.h>

#include <csignal>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace cyclamenstair {

/// Node of either mode.
using RunningNode = std::variant<std::unique_ptr<Node>, std::unique_ptr<EntryNode>>;

/// Starts a node, and tries again while the start is refused for a reason that may pass: a settings file that is not
/// there yet or not complete, an address in use, or a lack of descriptors, threads or memory.
class NodeStarter {
public:
    /// Longest time for which a start waits for its settings: as for any other refusal, so that supervisors need only
    /// one figure. The platform writes the file at the time of the start, which takes seconds.
    static constexpr Duration defaultMaxSettingsWait = std::chrono::seconds(90);

    /// `signals` are blocked in all threads. SIGHUP, or a change of the file, reads the settings again between two
    /// attempts.
    NodeStarter(SettingsFile file, const sigset_t& signals);

    /// Blocks until the log's thread runs. Returns false if another signal than SIGHUP arrived first, and an error if
    /// the lack of threads or memory has not passed within `maxRetryTime`.
    Result<bool> startLog();

    /// Blocks until the settings are read; must succeed before start(). Returns false if another signal than SIGHUP
    /// arrived first, and the last error if the file cannot be read, is incomplete or invalid for `maxWait`. Invalid
    /// settings are read again, too, as a half-written file can be invalid.
    Result<bool> readSettings(Duration maxWait);

    /// Blocks until the node has started. Returns no node if another signal than SIGHUP arrived first, and an error if
    /// the refusal has not passed within `maxRetryTime`.
    Result<std::optional<RunningNode>> start();

private:
    /// Longer than a closed connection keeps its port (60 s in TIME_WAIT) and than the grace period of a predecessor.
    static constexpr Duration maxRetryTime = std::chrono::seconds(90);
    static constexpr Duration minPause = milliseconds(100);
    static constexpr Duration maxPause = milliseconds(1000);

    Result<RunningNode> create() const;
    void logRefusal(const Error& error, int attempt);
    /// Waits for the pause or a signal, which is returned if one arrived.
    std::optional<int> waitForSignal(Duration pause) const;
    /// Returns whether to try again.
    bool waitForNextAttempt(Duration pause);
    /// Reads the settings, and describes their file in `m_lastRead`. Unavailable for lack of memory.
    Result<schema::SettingsT> load();
    /// Returns whether the file differs from the one that was read last, and can be read.
    bool hasFileChanged() const;
    void reloadSettings();
    void applySettings(schema::SettingsT settings);

    schema::SettingsT m_settings;
    SettingsFile m_file;
    sigset_t m_signals;
    ProcessStart m_start;
    ProcessStart m_lastRead; ///< File that was read last, also if it was not accepted.
    std::string m_loggedRefusal;
};

} // namespace cyclamenstair
