#pragma once

#include <Cyclamenstair/Codec/RecordCodec.h>
#include <Cyclamenstair/Store/StoreClient.h>

#include <optional>
#include <variant>

namespace cyclamenstair {

/// A plan was accepted as `head`.
struct PlanAccepted {
    PlanHead head;
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
};

/// Plans in the platform's store: a snapshot in chunks that the head names.
class PlanRepository {
public:
    static constexpr const char* headKey = "plan/head";

    explicit PlanRepository(StoreClient& store)
        : m_store(&store)
    {
    }

    /// Returns the head with its store revision; a revision of 0 means that there is no plan. No value if the store is
    /// unavailable.
    std::optional<std::pair<PlanHead, int64_t>> readHead();

    /// Returns the plan that `head` names, or no value if it cannot be read as a whole.
    std::optional<Plan> readPlan(const PlanHead& head);

    PlanAcceptance accept(const PlanProposal& proposal);

    /// Returns the audit records of accepted plans, oldest first.
    std::optional<std::vector<PlanHead>> readHistory();

private:
    bool writeChunks(const std::string& encoded, const std::string& acceptanceId);

    StoreClient* m_store;
};

} // namespace cyclamenstair
