#pragma once

#include <Benchmarks/Soak/SoakDaemon.h>
#include <Benchmarks/Soak/SoakProcess.h>
#include <Benchmarks/Soak/SoakTimer.h>

#include <Cyclamenstair/Core/Random.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace cyclamenstair {

/// What happens to the starts of a node's processes.
struct SoakStarts {
    std::vector<SoakDaemon> daemons; ///< Each start takes one of them by chance.
    SoakLimits limits;
    uint64_t seed { 1 };
    bool hasEarlySignals { false }; ///< A part of the starts is followed by SIGHUP at once, several times.
    bool hasUnreadOutput { false }; ///< Nobody reads the output of a part of the processes.
    std::map<std::string, std::string> variables; ///< Added to the environment of each process.
};

/// A process that a node runs.
struct SoakNodeProcess {
    pid_t id;
    TimePoint startedAt;
};

/// A node of a soak, which runs as a separate process and is restarted when it has ended. Thread-safe.
class SoakNode {
public:
    /// `folder` receives the settings and the log. The timer must be stopped before the node is destroyed.
    SoakNode(const std::string& id, const std::string& folder, SoakSettingsSource settings, SoakStarts starts,
        SoakTimer& timer);

    const std::string& id() const { return m_id; }
    const std::string& callerAddress() const { return m_callerAddress; }
    const std::string& probeAddress() const { return m_probeAddress; }

    void start();

    /// Sends a signal, which disturbs the node.
    void signal(int number);

    /// Sends a signal to all processes that were told to end and have not ended yet.
    void signalStopping(int number);

    /// Writes the settings files again, with other text of the same meaning: by a rename, or in place in two parts with
    /// a pause between them.
    void rewriteSettings(bool isInPlace, Duration pause);

    /// Replaces the settings, which keep their addresses, and writes the files in the same ways. The process learns of
    /// it from SIGHUP, or at its next start.
    void rewriteSettings(SoakSettingsSource settings, bool isInPlace, Duration pause);

    /// Records that the node was disturbed from outside.
    void markDisturbed() { m_disturbedAt = monotonicNow(); }

    /// Returns whether the node was told to end and has not been started again.
    bool isStopping();

    /// Tells the process to end, and starts another one with the same settings at once.
    void replace();

    /// Returns how processes ended since the last call, and starts the process again if it has ended.
    std::vector<SoakEnd> restartIfEnded();

    /// Tells the process to end, after which it is not started again; no effect after the first call.
    void stop();

    /// Returns whether all processes have ended after `stop`.
    bool hasStopped();

    /// Returns whether the node has not been disturbed since `time`.
    bool isCalmSince(TimePoint time) const { return m_disturbedAt.load() < time; }

    /// Returns the process that was started last, or no value if it has ended.
    std::optional<SoakNodeProcess> currentProcess();

    /// Returns descriptions of processes whose resident memory exceeds its limit, each once.
    std::vector<std::string> takeMemoryExcesses();

    /// Returns the number of processes that were started.
    size_t startCount();

    /// Returns the largest resident memory of a process of this node so far, in bytes.
    uint64_t maxResidentBytes();

private:
    void startProcess();
    /// Writes the settings files with `prefix` before their text. Expects m_rewriteMutex to be locked.
    void writeSettings(const std::string& prefix, bool isInPlace, Duration pause);
    /// Ends the reader of the process's output after some time.
    void scheduleBrokenOutput();
    /// Sends SIGHUP to the process some times in the first milliseconds, by chance.
    void scheduleEarlySignals();
    /// Sends SIGHUP to the process if it is still the node's one, at once or as soon as it blocks the signal.
    void sendEarlySignal(pid_t process, bool waits);
    std::string settingsPath(size_t daemon) const;

    std::string m_id;
    std::string m_folder;
    std::string m_callerAddress;
    std::string m_probeAddress;
    SoakStarts m_starts;
    SoakTimer& m_timer;
    /// Guards the settings and their files. Not the other lock, so that processes start while they are written.
    std::mutex m_rewriteMutex;
    SoakSettingsSource m_settings;
    int m_rewriteCount { 0 };
    std::mutex m_mutex; ///< Guards the members below.
    Random m_daemonRandom;
    Random m_stressRandom;
    uint64_t m_maxResidentBytes { 0 };
    size_t m_startCount { 0 };
    std::unique_ptr<SoakProcess> m_process; ///< Null once it has ended after `stop`.
    std::vector<std::unique_ptr<SoakProcess>> m_predecessors; ///< Replaced processes that have not ended yet.
    bool m_isStopped { false };
    std::atomic<TimePoint> m_disturbedAt { TimePoint::max() };
};

} // namespace cyclamenstair
