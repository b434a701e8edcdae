#pragma once

#include <Cyclamenstair/Codec/RecordCodec.h>
#include <Cyclamenstair/Store/StoreClient.h>

#include <memory>
#include <optional>
#include <variant>

namespace cyclamenstair {

/// A plan was accepted as `head`. The plan itself is present unless the acceptance was found to be an earlier one.
struct PlanAccepted {
    PlanHead head;
    std::optional<Plan> plan;
};

/// Another plan was accepted first; `winner` is the head now.
struct PlanConflict {
    PlanHead winner;
};

/// The plan was certainly not accepted.
struct PlanNotAccepted {
    std::string message;
};

/// Nobody can tell at present; `acceptanceId` will show in the head or the history if the plan was accepted.
struct PlanAcceptanceUnknown {
    std::string acceptanceId;
};

using PlanAcceptance = std::variant<PlanAccepted, PlanConflict, PlanNotAccepted, PlanAcceptanceUnknown>;

/// Request to accept a plan.
struct PlanProposal {
    Plan plan; ///< The revision is ignored.
    uint64_t expectedRevision { 0 }; ///< Revision that the operator saw; 0 if there was no plan.
    std::string acceptanceId; ///< Random id chosen by the operator's tool; repeats use the same one.
    std::string acceptedBy;
    std::string reason;
    bool isRepeat { false }; ///< Whether the id was sent before, so that an earlier attempt may have succeeded.
    std::shared_ptr<const Plan>
        known; ///< Plan in force at the node, from which missing deltas are applied; may be null.
};

/// Plans in the platform's store.
///
/// The head names a snapshot in chunks and its revision; the deltas of the revisions after it lead to the head's
/// revision. Chunks are written before a head names them, and until then, or after another snapshot replaced them, a
/// record under `plan/unreferenced/` names them, so that no chunk is ever without a record that leads to its removal.
class PlanRepository {
public:
    static constexpr const char* headKey = "plan/head";
    static constexpr const char* historyPrefix = "plan/history/";
    static constexpr const char* unreferencedPrefix = "plan/unreferenced/";

    /// Deltas after which a new snapshot is made.
    static constexpr uint64_t deltasPerSnapshot = 256;
    /// Deltas that are kept. Readers need at most those since the snapshot; the rest is for slow readers.
    static constexpr uint64_t keptDeltas = 1024;
    /// Acceptances that are kept in the history and recognised when repeated.
    static constexpr uint64_t keptHistory = 1000;
    /// Time for which chunks are kept that no head names, for writers and readers that are slow or paused.
    static constexpr uint64_t unreferencedGraceMs = 600000;

    explicit PlanRepository(StoreClient& store)
        : m_store(&store)
    {
    }

    /// Returns the head with its store revision; a revision of 0 means that there is no plan. No value if the store is
    /// unavailable.
    std::optional<std::pair<PlanHead, int64_t>> readHead();

    /// Returns the plan that `head` names, or no value if it cannot be read as a whole. Reads only the deltas that
    /// `known` lacks; reads the snapshot if one of them is gone.
    std::optional<Plan> readPlan(const PlanHead& head, const Plan* known = nullptr);

    PlanAcceptance accept(const PlanProposal& proposal);

    /// Returns the audit records of accepted plans, oldest first, at most the last 1,000.
    std::optional<std::vector<PlanHead>> readHistory();

    /// Returns the head that was accepted with the id: no outer value if the store is unavailable, no inner one if
    /// there is none.
    std::optional<std::optional<PlanHead>> findAcceptance(const std::string& acceptanceId);

    /// Removes chunks that no head has named for the grace time, a few sets in each call. Returns the number of sets.
    size_t removeUnreferenced(uint64_t nowUnixMs);

private:
    std::optional<Plan> applyDeltas(Plan plan, uint64_t revision);
    std::optional<std::vector<PlanDelta>> readDeltas(uint64_t after, uint64_t revision);
    std::optional<Plan> readSnapshot(const PlanHead& head);

    /// Adds the writes of a delta to `transaction`; returns false if a snapshot is needed.
    bool addDelta(const PlanProposal& proposal, const PlanHead& present, const Plan& plan, PlanHead& head,
        StoreTransaction& transaction);

    /// Writes the chunks and adds the change of snapshot to `transaction`; returns false if a chunk could not be
    /// written.
    bool addSnapshot(const PlanHead& present, const Plan& plan, PlanHead& head, StoreTransaction& transaction);

    /// Adds the removal of records that are older than what is kept; returns false if the store is unavailable.
    bool addRemovals(uint64_t revision, StoreTransaction& transaction);

    PlanAcceptance settle(const PlanProposal& proposal, PlanHead head, Plan plan, const StoreTransaction& transaction);

    StoreClient* m_store;
};

} // namespace cyclamenstair
