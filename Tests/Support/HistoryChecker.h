#pragma once

#include <Cyclamenstair/Core/EnumNames.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenstair::testing {

/// Outcome of a request as its caller observes it.
enum class ObservedOutcome : uint8_t {
    Complete,
    NotRun,
    Unknown,
    Incomplete, ///< The connection ended before the HTTP response was complete.
    NotSent, ///< The caller timed out before it sent the request, or could not connect.
};

/// Violation found in a history.
enum class HistoryFault : uint8_t {
    Lost, ///< No response or a truncated one, although the caller stayed connected and its node kept running.
    Duplicated, ///< A non-repeatable request ran twice, or a response contains its text more than once.
    Mismatched, ///< The response belongs to another request.
    FalselyNotRun, ///< The outcome is "not run", but a target ran the request.
};

/// Request and response as observed by the caller.
struct ObservedRequest {
    uint64_t requestNumber { 0 }; ///< Unique within a history.
    std::string requestId; ///< Id assigned by the node; empty if no response contained it.
    std::string key; ///< Idempotency-Key; empty for repeatable work.
    ObservedOutcome outcome { ObservedOutcome::NotSent };
    std::string responseText; ///< Received text.
    std::string expectedText; ///< Text of the complete response.
    bool isDisconnectAllowed { false }; ///< The node that served the request was stopped or killed meanwhile.
};

/// Contents of the targets' run logs.
struct TargetLogs {
    std::set<std::string> requestIds; ///< Requests that a target ran.
    std::map<std::string, int> runsByKey; ///< Number of runs of non-repeatable requests by Idempotency-Key.
};

/// Violation with the request that shows it.
struct HistoryFinding {
    HistoryFault fault { HistoryFault::Lost };
    uint64_t requestNumber { 0 };
    std::string detail;
};

/// Returns all violations of the invariants I3 to I5 of the design page. `requestCount` is the number of requests sent,
/// numbered from 0.
std::vector<HistoryFinding> checkHistory(
    const std::vector<ObservedRequest>& records, const TargetLogs& logs, uint64_t requestCount);

/// Returns the first `maxLines` findings, one per line.
std::string describeFindings(const std::vector<HistoryFinding>& findings, size_t maxLines = 10);

} // namespace cyclamenstair::testing

namespace cyclamenstair {

template <> struct EnumNames<testing::ObservedOutcome> {
    static constexpr auto table = std::to_array<EnumName<testing::ObservedOutcome>>({
        { testing::ObservedOutcome::Complete, "complete" },
        { testing::ObservedOutcome::NotRun, "not_run" },
        { testing::ObservedOutcome::Unknown, "unknown" },
        { testing::ObservedOutcome::Incomplete, "broken" },
        { testing::ObservedOutcome::NotSent, "not_sent" },
    });
};

template <> struct EnumNames<testing::HistoryFault> {
    static constexpr auto table = std::to_array<EnumName<testing::HistoryFault>>({
        { testing::HistoryFault::Lost, "lost" },
        { testing::HistoryFault::Duplicated, "doubled" },
        { testing::HistoryFault::Mismatched, "mixed_up" },
        { testing::HistoryFault::FalselyNotRun, "falsely_not_run" },
    });
};

} // namespace cyclamenstair
