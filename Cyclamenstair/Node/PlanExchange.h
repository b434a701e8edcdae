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

/// Passes plans between this node and its peers, as deltas where possible, and puts them in force.
///
/// A plan is first staged: peers can fetch it and are told of it, and only then it is put in force. A node that serves
/// a revision has therefore always told others of it. Callable from many threads; one lock covers the staged plan and
/// the deltas that lead to it, because they change together.
class PlanExchange {
public:
    /// Tells some peers of a revision.
    using Announcer = std::function<void(uint64_t revision)>;

    /// Largest part of a plan in one message, which leaves room in a frame.
    static constexpr size_t maxPartBytes = 512 << 10;

    PlanExchange(ActivePlan& plans, AuditTrail& audit);

    /// Sets the function that install() calls; it must not throw.
    void setAnnouncer(Announcer announcer);

    /// Stages `plan`, announces it and puts it in force; returns whether its revision was greater than the staged one.
    /// `encodedDeltas` are those that lead from the staged revision to the plan's, if known.
    bool install(Plan plan, const std::string& source, std::vector<std::string> encodedDeltas = {});

    /// Returns the staged plan, which is in force or about to be; null before the first one.
    std::shared_ptr<const Plan> latest() const;
    uint64_t revision() const;

    /// Answers a peer that asks for a newer plan.
    PlanFetchResponseMessage answer(const PlanFetchRequestMessage& request) const;

    /// Fetches a newer plan from the peer, if it has one, and installs it; returns whether it did. Throws Exception if
    /// the connection fails or the peer's parts do not fit together.
    bool fetchFrom(FrameSocket& socket);

private:
    struct Delta {
        uint64_t revision { 0 };
        std::string encoded;
    };

    bool stage(const std::shared_ptr<const Plan>& plan, std::vector<std::string> encodedDeltas);
    bool installDeltas(const PlanFetchResponseMessage& response, const std::string& peer);

    ActivePlan* m_plans;
    AuditTrail* m_audit;
    Announcer m_announcer;
    mutable std::mutex m_mutex;
    std::shared_ptr<const Plan> m_latest;
    std::shared_ptr<const std::string> m_encoded; ///< Encoded form of m_latest.
    std::deque<Delta> m_deltas; ///< Deltas of consecutive revisions up to the latest.
    size_t m_deltaBytes { 0 };
};

} // namespace cyclamenstair
