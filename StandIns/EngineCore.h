#pragma once

#include <Cyclamenstair/Core/Time.h>

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace cyclamenstair::standin {

/// Settings of a simulated model engine.
struct EngineSettings {
    uint64_t memoryBytes { 16ULL << 30 };
    uint32_t slots { 8 }; ///< Requests that are decoded together.
    double prefillMs { 4 }; ///< Time to the first token once a slot is free.
    double tokenMs { 2 }; ///< Time between tokens.
    bool enforcesFencing { true };
    std::string weightStore; ///< "HOST:PORT" of the platform stand-in; empty for loads without delay.
};

/// One line of the log of requests that reached the engine.
struct EngineRun {
    std::string requestId;
    std::string attempt;
    uint32_t tokens { 0 }; ///< Tokens produced so far.
    bool isFinished { false };
    bool isCancelled { false };
};

/// State of a simulated model engine: memory, fencing number, decode slots and the log of runs.
class EngineCore {
public:
    explicit EngineCore(EngineSettings settings);

    const EngineSettings& settings() const { return m_settings; }
    const std::string& instance() const { return m_instance; }

    /// Returns false if the epoch is older than the highest one seen and fencing is on.
    bool admitEpoch(uint64_t epoch);
    void ignoreFencing() { m_enforcesFencing = false; }
    uint64_t enforcedEpoch() const;
    bool enforcesFencing() const { return m_enforcesFencing; }

    /// Occupies memory for the artifact. Loading beyond the memory is carried out and counted as an overcommit, so that
    /// checkers see it. Idempotent.
    void load(const std::string& artifact, uint64_t memoryBytes);
    void unload(const std::string& artifact);
    std::vector<std::string> artifacts() const;
    bool holds(const std::string& artifact) const;
    uint64_t overcommits() const;
    uint64_t peakBytes() const;

    /// Waits for a decode slot; higher priorities first, then by arrival. Returns false if the run was cancelled.
    bool acquireSlot(int priority, const std::string& requestId, const std::string& attempt);
    void releaseSlot();

    /// Requests running or waiting.
    uint32_t load() const;

    size_t beginRun(const std::string& requestId, const std::string& attempt);
    void recordToken(size_t run);
    void endRun(size_t run, bool isFinished);
    std::vector<EngineRun> runs() const;

    /// Cancels one attempt of the request, or all of them if `attempt` is empty.
    void cancel(const std::string& requestId, const std::string& attempt);
    bool isCancelled(const std::string& requestId, const std::string& attempt) const;

private:
    struct Waiter {
        int priority;
        uint64_t arrival;
        auto operator<=>(const Waiter&) const = default;
    };

    EngineSettings m_settings;
    std::string m_instance;
    std::atomic<bool> m_enforcesFencing;
    mutable std::mutex m_memoryMutex;
    uint64_t m_epoch { 0 };
    std::map<std::string, uint64_t> m_artifacts;
    uint64_t m_overcommits { 0 };
    uint64_t m_peakBytes { 0 };
    mutable std::mutex m_slotMutex;
    std::condition_variable m_slotFreed;
    std::set<Waiter> m_waiters;
    uint64_t m_arrivals { 0 };
    uint32_t m_running { 0 };
    mutable std::mutex m_runMutex;
    std::vector<EngineRun> m_runs;
    std::set<std::pair<std::string, std::string>> m_cancelled; ///< Request id and attempt.
};

} // namespace cyclamenstair::standin
