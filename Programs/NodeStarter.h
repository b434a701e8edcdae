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

/// Starts a node, and tries again while the start is refused for a reason that may pass: an address in use, or a lack
/// of descriptors, threads or memory.
class NodeStarter {
public:
    /// `signals` are blocked in all threads. SIGHUP reads the settings again between two attempts.
    NodeStarter(schema::SettingsT settings, SettingsFile file, const sigset_t& signals);

    /// Blocks until the node has started. Returns no node if another signal than SIGHUP arrived first, and an error if
    /// the settings are invalid or the refusal has not passed within `maxRetryTime`.
    Result<std::optional<RunningNode>> start();

private:
    /// Longer than a closed connection keeps its port (60 s in TIME_WAIT) and than the grace period of a predecessor.
    static constexpr Duration maxRetryTime = std::chrono::seconds(90);
    static constexpr Duration minPause = milliseconds(100);
    static constexpr Duration maxPause = milliseconds(1000);

    Result<RunningNode> create() const;
    void logRefusal(const Error& error, int attempt);
    /// Returns whether to try again.
    bool waitForNextAttempt(Duration pause);
    void reloadSettings();

    schema::SettingsT m_settings;
    SettingsFile m_file;
    sigset_t m_signals;
    std::string m_loggedRefusal;
};

} // namespace cyclamenstair
