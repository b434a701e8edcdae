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
    uint32_t slots { 8 }; ///< Number of requests decoded in parallel.
    double prefillMs { 4 }; ///< Time to the first token after a slot has been acquired.
    double tokenMs { 2 }; ///< Time between tokens.
    bool enforcesFencing { true };
    std::string weightStore; ///< "HOST:PORT" of the platform stand-in; if empty, loads complete without delay.
};

/// Entry of the log of requests that reached the engine.
struct EngineRunRecord {
    std::string requestId;
    std::string attempt;
    uint32_t tokens { 0 }; ///< Number of tokens generated so far.
    bool isFinished { false };
    bool isCancelled { false };
};

/// State of a simulated model engine: memory, fencing epoch, decode slots and the run log. Thread-safe.
class EngineCore {
public:
    explicit EngineCore(EngineSettings settings);

    const EngineSettings& settings() const { return m_settings; }
    const std::string& instance() const { return m_instance; }

    /// Raises the enforced epoch to `epoch`. Returns false if `epoch` is older than the highest accepted epoch and
    /// fencing is enabled.
    bool acceptEpoch(uint64_t epoch);
    void ignoreFencing() { m_enforcesFencing = false; }
    uint64_t enforcedEpoch() const;
    bool enforcesFencing() const { return m_enforcesFencing; }

    /// Allocates memory for the artifact. Idempotent. A load that exceeds the engine's memory succeeds and is counted
    /// as an overcommit, so that tests can detect it.
    void load(const std::string& artifact, uint64_t memoryBytes);
    void unload(const std::string& artifact);
    std::vector<std::string> artifacts() const;
    bool isLoaded(const std::string& artifact) const;
    uint64_t overcommits() const;
    uint64_t peakBytes() const;

    /// Blocks until a decode slot is free; slots are granted by descending priority, then in order of arrival. Returns
    /// false if the run was cancelled.
    bool acquireSlot(int priority, const std::string& requestId, const std::string& attempt);
    void releaseSlot();

    /// Returns the number of running and waiting requests.
    uint32_t load() const;

    /// Adds a run to the log and returns its index.
    size_t startRun(const std::string& requestId, const std::string& attempt);
    void recordToken(size_t run);
    void endRun(size_t run, bool isFinished);
    std::vector<EngineRunRecord> runs() const;

    /// Cancels one attempt of the request, or all its attempts if `attempt` is empty.
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
    uint64_t m_nextArrival { 0 };
    uint32_t m_usedSlots { 0 };
    mutable std::mutex m_runMutex;
    std::vector<EngineRunRecord> m_runs;
    /// Pairs of request id and attempt; an empty attempt stands for all attempts.
    std::set<std::pair<std::string, std::string>> m_cancelled;
};

} // namespace cyclamenstair::standin
