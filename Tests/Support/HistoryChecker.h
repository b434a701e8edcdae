#pragma once

#include <Cyclamenstair/Core/EnumNames.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenstair::testing {

/// How a call ended for its caller.
enum class CallEnd : uint8_t {
    Complete,
    NotRun,
    Unknown,
    Broken, ///< The connection ended without a whole HTTP answer.
    NotSent, ///< The caller gave up before it sent the call, or could not connect.
};

/// What is wrong with a history.
enum class HistoryFault : uint8_t {
    Lost, ///< No answer, or a shortened one, although the caller stayed and its node lived.
    Doubled, ///< A call that may not be repeated ran twice, or an answer holds its text more than once.
    MixedUp, ///< The answer is not the one to this call.
    FalselyNotRun, ///< The answer says "not run", and a target ran the call.
};

/// What one caller saw of one call.
struct CallRecord {
    uint64_t call { 0 }; ///< Number of the call, unique within a history.
    std::string requestId; ///< Id given by the node; empty if no answer told it.
    std::string key; ///< Idempotency-Key; empty for work that may be repeated.
    CallEnd end { CallEnd::NotSent };
    std::string answer; ///< Text received.
    std::string expected; ///< Text of a whole answer.
    bool mayBreak { false }; ///< The node that served the call was stopped or ended meanwhile.
};

/// What the targets logged.
struct TargetLogs {
    std::set<std::string> requestIds; ///< Requests that reached a target's work.
    std::map<std::string, int> runsByKey; ///< Runs of calls that may not be repeated.
};

/// Finding of a check.
struct HistoryFinding {
    HistoryFault fault { HistoryFault::Lost };
    uint64_t call { 0 };
    std::string detail;
};

/// Returns everything in the history that the invariants I3 to I5 of the design page exclude. `calls` is the number of
/// calls that were made, numbered from 0.
std::vector<HistoryFinding> checkHistory(
    const std::vector<CallRecord>& records, const TargetLogs& logs, uint64_t calls);

/// Returns the findings as lines, at most `limit` of them.
std::string describe(const std::vector<HistoryFinding>& findings, size_t limit = 10);

} // namespace cyclamenstair::testing

namespace cyclamenstair {

template <> struct EnumNames<testing::CallEnd> {
    static constexpr auto table = std::to_array<EnumName<testing::CallEnd>>({
        { testing::CallEnd::Complete, "complete" },
        { testing::CallEnd::NotRun, "not_run" },
        { testing::CallEnd::Unknown, "unknown" },
        { testing::CallEnd::Broken, "broken" },
        { testing::CallEnd::NotSent, "not_sent" },
    });
};

template <> struct EnumNames<testing::HistoryFault> {
    static constexpr auto table = std::to_array<EnumName<testing::HistoryFault>>({
        { testing::HistoryFault::Lost, "lost" },
        { testing::HistoryFault::Doubled, "doubled" },
        { testing::HistoryFault::MixedUp, "mixed_up" },
        { testing::HistoryFault::FalselyNotRun, "falsely_not_run" },
    });
};

} // namespace cyclamenstair
