#pragma once

#include <Benchmarks/CallSender.h>
#include <Benchmarks/LogHistogram.h>

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

namespace cyclamenstair::load {

/// Figures of one run.
struct LoadResult {
    std::string name;
    double seconds { 0 }; ///< Length of the planned arrivals.
    uint64_t calls { 0 };
    uint64_t inWindow { 0 }; ///< Answered completely, once, and within the caller's window.
    uint64_t late { 0 };
    std::map<testing::ObservedOutcome, uint64_t> outcomes;
    std::map<WorkClass, LogHistogram> latency; ///< Latency of complete answers in ms.
    LogHistogram shortWaiting; ///< Latency of short work without the engine's own time, in ms.
    double attainmentPerAccelerator { 0 }; ///< Calls in window per accelerator.
    double goodput { 0 }; ///< Calls in window per second.
    int64_t modelMoves { 0 }; ///< Loads from the weight store during the run.
    int64_t extraAttempts { 0 }; ///< Runs in the engines' logs beyond one for each request that ran.
    std::vector<testing::HistoryFinding> findings;

    /// Adds the calls whose arrival lies in [from, to).
    void add(const Deployment& deployment, const std::vector<PlannedCall>& calls,
        const std::vector<CallResult>& results, double from, double to);

    uint64_t outcomeCount(testing::ObservedOutcome outcome) const;
    nlohmann::json toJson() const;
};

/// Returns a table with one row for each result.
std::string tableOf(const std::vector<LoadResult>& results);

/// A bound of section 1.7 of the design page and what was measured against it.
struct BoundCheck {
    std::string subject;
    double measured { 0 };
    double bound { 0 };
    bool isUpperBound { true };

    bool isMet() const { return isUpperBound ? measured <= bound : measured >= bound; }
    nlohmann::json toJson() const;
};

/// Returns one line for each check, with "met" or "not met".
std::string linesOf(const std::vector<BoundCheck>& checks);

} // namespace cyclamenstair::load
