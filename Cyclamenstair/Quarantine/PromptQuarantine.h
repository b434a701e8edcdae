#pragma once

#include <Cyclamenstair/Core/EnumNames.h>
#include <Cyclamenstair/Core/Sharded.h>
#include <Cyclamenstair/Quarantine/PartEvidence.h>
#include <Cyclamenstair/Quarantine/PromptParts.h>

#include <atomic>
#include <functional>
#include <map>

namespace cyclamenstair {

/// Change of what a node thinks of a prompt part.
enum class PartVerdictKind : uint8_t {
    Quarantined, ///< This node found the evidence sufficient.
    Adopted, ///< Another node did.
    Cleared, ///< A quarantined part was in an answer that continued.
};

template <> struct EnumNames<PartVerdictKind> {
    static constexpr auto table = std::to_array<EnumName<PartVerdictKind>>({
        { PartVerdictKind::Quarantined, "quarantined" },
        { PartVerdictKind::Adopted, "adopted" },
        { PartVerdictKind::Cleared, "cleared" },
    });
};

/// A verdict and the evidence for it.
struct PartVerdict {
    PartVerdictKind kind { PartVerdictKind::Quarantined };
    std::string part;
    uint32_t failures { 0 };
    uint32_t requests { 0 };
    Duration quarantineLeft {};
};

/// Finds prompt parts that make targets fail, and keeps requests with them from further targets. State is sharded by
/// part. Thread-safe; does no I/O.
///
/// When a target fails, the requests whose answers it had not continued are suspects, and so is each part that other
/// prompts may share, and the last one, which identifies the request. A part is cleared by any answer that continues.
/// What remains after several failures is the part that no target survives. Of parts that remain together, those that
/// targets survived before the failures are spared.
class PromptQuarantine {
public:
    /// `onVerdict` is called for each change of a verdict, on the thread that causes it.
    explicit PromptQuarantine(
        const QuarantineSettings& settings, std::function<void(const PartVerdict&)> onVerdict = nullptr);

    /// Returns the time until a request with these parts may be sent to a target, or no value if it may be sent now.
    std::optional<Duration> timeUntilAllowed(const PromptParts& parts, TimePoint now);

    /// Records that a request lost its unfinished answer because its target failed. `attempt` identifies the attempt
    /// among those of all nodes.
    void addLostAnswer(const PromptParts& parts, uint64_t attempt, TimePoint now);

    /// Records that a target went on with an answer after its beginning.
    void addContinuedAnswer(const PromptParts& parts, TimePoint now);

    /// Returns what this node knows, for the other nodes.
    std::vector<PartRow> rows(TimePoint now);

    /// Adds what another node knows.
    void merge(const std::vector<PartRow>& rows, TimePoint now);

    /// Returns a number that increases whenever rows() has something new for the other nodes.
    uint64_t version() const { return m_version; }

private:
    struct PartState {
        PartEvidence evidence;
        uint64_t continuedAnswersBefore { 0 }; ///< Value of m_continuedAnswers at the first lost answer.
    };
    struct Shard {
        std::map<std::string, PartState> suspects;
        std::map<std::string, TimePoint> continuedAt; ///< Last continued answer with the part.
    };

    /// Returns the state of a suspect part; room is made for a new one.
    PartState& stateOf(Shard& shard, const std::string& part, TimePoint now);
    /// Calls `function(part)` for all parts of a prompt.
    template <typename Function> static void forEachPart(const PromptParts& parts, const Function& function)
    {
        for (const auto& part : parts.shared)
            function(part);
        if (!parts.own.empty())
            function(parts.own);
    }
    /// Returns whether the evidence against the part alone would suffice for a quarantine.
    bool isSuspicious(const std::string& part, const PartState& state, TimePoint now) const;
    /// Returns whether the evidence concerns one request only, of which the part is the last one.
    static bool identifiesRequest(const std::string& part, const PartState& state);
    /// Quarantines all parts against which the evidence suffices.
    void judge(TimePoint now);
    /// Quarantines those that `isCandidate(part, state)` returns true for. Lost answers that are among `explained`
    /// attempts do not count; those of quarantined parts are added.
    void judgeParts(const std::function<bool(const std::string&, const PartState&)>& isCandidate,
        std::set<uint64_t>& explained, TimePoint now);
    void report(PartVerdictKind kind, const std::string& part, const PartEvidence& evidence, TimePoint now);

    QuarantineSettings m_settings;
    std::function<void(const PartVerdict&)> m_onVerdict;
    std::atomic<uint64_t> m_continuedAnswers { 0 }; ///< Of requests with prompt parts.
    std::atomic<uint64_t> m_version { 0 };
    Sharded<std::string, Shard> m_parts;
};

} // namespace cyclamenstair
