#pragma once

#include <Benchmarks/LogHistogram.h>
#include <Benchmarks/RequestSender.h>

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

namespace cyclamenstair::load {

/// Measurements of one run.
struct LoadResult {
    std::string name;
    double seconds { 0 }; ///< Length of the measured interval.
    uint64_t requests { 0 };
    uint64_t inWindow { 0 }; ///< Requests with the correct complete response within the caller's window.
    uint64_t late { 0 }; ///< Requests with a complete response that was late or incorrect.
    std::map<testing::ObservedOutcome, uint64_t> outcomes;
    std::map<WorkClass, LogHistogram> latency; ///< Latency of complete responses in ms.
    LogHistogram shortWaitTimes; ///< Latency of short work minus the time on an idle engine, in ms.
    double attainmentPerAccelerator { 0 }; ///< Requests in window per accelerator.
    double goodput { 0 }; ///< Requests in window per second.
    int64_t modelMoves { 0 }; ///< Number of loads from the weight store during the run.
    int64_t extraAttempts { 0 }; ///< Number of runs in the engines' logs beyond one per request that ran.
    std::vector<testing::HistoryFinding> findings;

    /// Adds the requests that arrive in [from, to), in seconds from the start of the run.
    void add(const Deployment& deployment, const std::vector<PlannedRequest>& plannedRequests,
        const std::vector<RequestResult>& results, double from, double to);

    uint64_t outcomeCount(testing::ObservedOutcome outcome) const;
    nlohmann::json toJson() const;
};

/// Returns a text table with one row per result.
std::string formatTable(const std::vector<LoadResult>& results);

/// Bound from section 1.7 of the design page and the measured value.
struct BoundCheck {
    std::string subject;
    double measured { 0 };
    double bound { 0 };
    bool isUpperBound { true };

    bool isMet() const { return isUpperBound ? measured <= bound : measured >= bound; }
    nlohmann::json toJson() const;
};

/// Returns one line per check, ending with "met" or "not met".
std::string formatChecks(const std::vector<BoundCheck>& checks);

} // namespace cyclamenstair::load
