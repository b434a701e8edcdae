#pragma once

#include <Cyclamenstair/Plan/ActivePlan.h>
#include <Cyclamenstair/Plan/PlanDelta.h>
#include <Cyclamenstair/Telemetry/AuditTrail.h>
#include <Cyclamenstair/Transport/FrameSocket.h>

#include <deque>
#include <functional>
#include <memory>
#include <mutex>

namespace cyclamenstair {

/// Exchanges plans with peers, as deltas where possible, and activates them.
///
/// A plan is first staged: peers can fetch it, and its revision is announced. Only then is it activated, so that a node
/// never serves a revision that it has not announced. Thread-safe; one mutex guards the staged plan and the deltas that
/// lead to it, because they change together.
class PlanExchange {
public:
    /// Announces a revision to some peers.
    using Announcer = std::function<void(uint64_t revision)>;

    /// Maximum size of a part of a plan in one message; leaves room for the other fields of the frame.
    static constexpr size_t maxPartBytes = 512 << 10;

    PlanExchange(ActivePlan& activePlan, AuditTrail& audit);

    /// Sets the function with which install() announces a revision. It must not throw.
    void setAnnouncer(Announcer announcer);

    /// Stages, announces and activates `plan` if its revision is greater than the staged one; returns whether it is.
    /// `encodedDeltas`, if available, lead from the staged revision to the revision of `plan`.
    bool install(Plan plan, const std::string& source, std::vector<std::string> encodedDeltas = {});

    /// Returns the staged plan, which is active or about to be activated; null if there is none.
    std::shared_ptr<const Plan> stagedPlan() const;
    /// Returns the revision of the staged plan; 0 if there is none.
    uint64_t stagedRevision() const;

    /// Handles a peer's request for a newer plan.
    PlanFetchResponseMessage handleFetch(const PlanFetchRequestMessage& request) const;

    /// Fetches a newer plan from the peer, if it has one, and installs it; returns whether it did. Throws Exception if
    /// the connection fails or the peer's responses are invalid.
    bool fetchFrom(FrameSocket& socket);

private:
    struct Delta {
        uint64_t revision { 0 };
        std::string encoded;
    };

    bool stage(const std::shared_ptr<const Plan>& plan, std::vector<std::string> encodedDeltas);
    bool installDeltas(const PlanFetchResponseMessage& response, const std::string& peer);

    ActivePlan* m_activePlan;
    AuditTrail* m_audit;
    Announcer m_announcer;
    mutable std::mutex m_mutex;
    std::shared_ptr<const Plan> m_staged;
    std::shared_ptr<const std::string> m_encodedStaged; ///< Encoded form of m_staged.
    std::deque<Delta> m_deltas; ///< Deltas of consecutive revisions up to the staged one.
    size_t m_deltaBytes { 0 };
};

} // namespace cyclamenstair
