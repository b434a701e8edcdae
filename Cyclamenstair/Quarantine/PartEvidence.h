#pragma once

#include <Cyclamenstair/Quarantine/PartRow.h>
#include <Cyclamenstair/Quarantine/QuarantineSettings.h>

#include <optional>
#include <set>

namespace cyclamenstair {

/// Evidence against one prompt part, and the verdict. Not thread-safe.
///
/// Nodes exchange it as rows. Merging is commutative and idempotent: lost answers are identified by their attempts, and
/// an answer that continues starts a new generation, which replaces all earlier ones without comparing clocks.
class PartEvidence {
public:
    /// Records that a request with the part lost its unfinished answer because its target failed.
    void addLostAnswer(const LostAnswerRow& answer, TimePoint now, const QuarantineSettings& settings);

    /// Records that an answer to a request with the part continued, which discards the evidence and ends a quarantine.
    /// Returns whether there was any.
    bool clear(TimePoint now);

    /// Adds the evidence of another node. Returns whether it contained anything new.
    bool merge(const PartRow& row, TimePoint now, const QuarantineSettings& settings);

    /// Records that answers with the part continued before the first lost one.
    void setHadContinuedAnswers() { m_hadContinuedAnswers = true; }
    bool hadContinuedAnswers() const { return m_hadContinuedAnswers; }

    /// Returns whether the part must be quarantined. Lost answers among the `explained` attempts, which other parts
    /// account for, do not count. `otherAnswers` is the number of continued answers without the part since this node
    /// learned of the first lost one. `minRequests` different requests must have been lost.
    bool isSufficient(const std::set<uint64_t>& explained, uint64_t otherAnswers, uint32_t minRequests, TimePoint now,
        const QuarantineSettings& settings) const;

    /// Returns whether all lost answers are to the request with this hash.
    bool isOfOneRequest(uint64_t request) const;

    /// Starts a quarantine.
    void quarantine(TimePoint now, const QuarantineSettings& settings);

    /// Adds the attempts of the lost answers to `attempts`.
    void collectAttempts(std::set<uint64_t>& attempts) const;

    /// Returns the time until the quarantine ends, or no value if the part is not quarantined.
    std::optional<Duration> quarantineLeft(TimePoint now) const;

    bool hasLostAnswers() const { return !m_lostAnswers.empty(); }
    size_t lostAnswerCount() const { return m_lostAnswers.size(); }

    /// Discards evidence that is too old. Returns whether nothing is left to remember.
    bool expire(TimePoint now, const QuarantineSettings& settings);

    /// Returns the number of failures by which answers were lost.
    uint32_t failureCount(const QuarantineSettings& settings, const std::set<uint64_t>& explained = {}) const;

    /// Returns the number of different requests among the lost answers.
    uint32_t requestCount(const std::set<uint64_t>& explained = {}) const;

    PartRow row(const std::string& part, TimePoint now) const;

private:
    struct LostAnswer {
        TimePoint lostAt;
        uint64_t attempt;
        uint64_t request;
    };

    std::vector<LostAnswer> m_lostAnswers; ///< In the order of their times.
    bool m_hadContinuedAnswers { false };
    uint32_t m_generation { 0 };
    TimePoint m_clearedAt; ///< Start of the generation.
    TimePoint m_quarantinedUntil;
    uint32_t m_quarantineCount { 0 };
};

} // namespace cyclamenstair
