#pragma once

#include <Benchmarks/Soak/SoakProcess.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace cyclamenstair {

/// A node of a soak, which runs as a separate process and is restarted when it has ended. Thread-safe.
class SoakNode {
public:
    SoakNode(const std::string& id, const std::string& folder, const std::string& storeAddress,
        const std::string& peerAddress, const std::string& seeds);

    const std::string& id() const { return m_id; }
    const std::string& callerAddress() const { return m_callerAddress; }
    const std::string& probeAddress() const { return m_probeAddress; }

    void start();

    /// Sends a signal, which disturbs the node.
    void signal(int number);

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

private:
    void startProcess();

    std::string m_id;
    std::string m_callerAddress;
    std::string m_probeAddress;
    std::string m_settingsPath;
    std::string m_logPath;
    std::mutex m_mutex;
    std::unique_ptr<SoakProcess> m_process; ///< Null once it has ended after `stop`.
    std::vector<std::unique_ptr<SoakProcess>> m_predecessors; ///< Replaced processes that have not ended yet.
    bool m_isStopped { false };
    std::atomic<TimePoint> m_disturbedAt { TimePoint::max() };
};

} // namespace cyclamenstair
