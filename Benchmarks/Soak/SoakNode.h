#pragma once

#include <Cyclamenstair/Core/Time.h>

#include <Tests/Support/ProcessFleet.h>

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

    /// Sends a signal that disturbs the node; `endsProcess` means that its exit is expected.
    void signal(int number, bool endsProcess);

    /// Records that the node was disturbed from outside.
    void markDisturbed() { m_disturbedAt = monotonicNow(); }

    /// Returns whether the node was told to end and has not been started again.
    bool isStopping();

    /// Tells the process to end, and starts another one with the same settings at once.
    void replace();

    /// Starts the process again if it has ended. Returns whether it had ended without being told to.
    bool restartIfEnded();

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
    std::unique_ptr<testing::ChildProcess> m_process;
    std::vector<std::unique_ptr<testing::ChildProcess>> m_predecessors; ///< Replaced processes that have not ended yet.
    bool m_isEndExpected { false };
    std::atomic<TimePoint> m_disturbedAt { TimePoint::max() };
};

} // namespace cyclamenstair
