#pragma once

#include <Cyclamenstair/Codec/RecordCodec.h>
#include <Cyclamenstair/Store/StoreClient.h>

#include <memory>
#include <optional>
#include <variant>

namespace cyclamenstair {

/// The plan was accepted as `head`. `plan` has no value if an earlier attempt with the same id was accepted.
struct PlanAccepted {
    PlanHead head;
    std::optional<Plan> plan;
};

/// Another plan was accepted first. `currentHead` is the head at the time of the conflict.
struct PlanConflict {
    PlanHead currentHead;
};

/// The plan was not accepted and will not be.
struct PlanNotAccepted {
    std::string message;
};

/// The outcome is unknown. If the plan was accepted, `acceptanceId` appears in the head or the history.
struct PlanAcceptanceUnknown {
    std::string acceptanceId;
};

using PlanAcceptance = std::variant<PlanAccepted, PlanConflict, PlanNotAccepted, PlanAcceptanceUnknown>;

/// Request to accept a plan.
struct PlanProposal {
    Plan plan; ///< The revision is ignored.
    uint64_t expectedRevision { 0 }; ///< Revision that the proposal is based on; 0 if there is no plan.
    std::string acceptanceId; ///< Random id chosen by the client; retries use the same one.
    std::string acceptedBy;
    std::string reason;
    bool isRetry { false }; ///< The id was sent before, so an earlier attempt may have succeeded.
    std::shared_ptr<const Plan> basePlan; ///< Local plan to which missing deltas are applied; may be null.
};

/// Reads and writes plans in the platform's store.
///
/// The head references a chunked snapshot of its own or an earlier revision; the deltas after it lead to the head's
/// revision. Chunks are written before a head references them. Until then, and after another snapshot has replaced
/// them, a record under `plan/unreferenced/` lists them, so that every chunk is reachable from a record and can be
/// removed.
class PlanRepository {
public:
    static constexpr const char* headKey = "plan/head";
    static constexpr const char* historyPrefix = "plan/history/";
    static constexpr const char* unreferencedPrefix = "plan/unreferenced/";

    /// Number of deltas after which a new snapshot is written.
    static constexpr uint64_t deltasPerSnapshot = 256;
    /// Number of deltas to retain. Readers need at most the deltas since the snapshot; the others are for slow readers.
    static constexpr uint64_t retainedDeltas = 1024;
    /// Number of acceptances to retain in the history and to detect retries of.
    static constexpr uint64_t retainedAcceptances = 1000;
    /// Time for which unreferenced chunks are retained for slow or paused writers and readers.
    static constexpr uint64_t unreferencedGracePeriodMs = 600000;

    explicit PlanRepository(StoreClient& store)
        : m_store(&store)
    {
    }

    /// Returns the head and its store revision, which is 0 if there is no plan; no value if the store is unavailable.
    std::optional<std::pair<PlanHead, int64_t>> readHead();

    /// Returns the plan of `head`, or no value if it cannot be read completely. Reads only the deltas after `basePlan`;
    /// falls back to the snapshot if one of them is missing.
    std::optional<Plan> readPlan(const PlanHead& head, const Plan* basePlan = nullptr);

    /// Accepts the plan if the head has the expected revision. Retries with the same id are accepted at most once.
    PlanAcceptance accept(const PlanProposal& proposal);

    /// Returns the last `retainedAcceptances` accepted heads, oldest first; no value if the store is unavailable.
    std::optional<std::vector<PlanHead>> readHistory();

    /// Returns the head accepted under the id. The outer optional is empty if the store is unavailable, the inner one
    /// if there is no such head.
    std::optional<std::optional<PlanHead>> findAcceptance(const std::string& acceptanceId);

    /// Removes chunk sets that have been unreferenced for the grace period, up to a limit per call. Returns the number
    /// of sets removed.
    size_t removeUnreferencedChunks(uint64_t nowUnixMs);

private:
    std::optional<Plan> applyDeltas(Plan plan, uint64_t toRevision);
    std::optional<std::vector<PlanDelta>> readDeltas(uint64_t fromRevision, uint64_t toRevision);
    std::optional<Plan> readSnapshot(const PlanHead& head);

    /// Adds the write of the delta to `transaction`; returns false if a snapshot is needed instead.
    bool addDelta(const PlanProposal& proposal, const PlanHead& currentHead, const Plan& plan, PlanHead& head,
        StoreTransaction& transaction);

    /// Writes the chunks and adds the snapshot change to `transaction`; returns false if a chunk could not be written.
    bool addSnapshot(const PlanHead& currentHead, const Plan& plan, PlanHead& head, StoreTransaction& transaction);

    /// Adds the deletion of records beyond the retention limits; returns false if the store is unavailable.
    bool addRetentionDeletes(uint64_t revision, StoreTransaction& transaction);

    PlanAcceptance commit(const PlanProposal& proposal, PlanHead head, Plan plan, const StoreTransaction& transaction);

    StoreClient* m_store;
};

} // namespace cyclamenstair
