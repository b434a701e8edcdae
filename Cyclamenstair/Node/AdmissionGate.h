#pragma once

#include <Cyclamenstair/Admission/AdmissionController.h>
#include <Cyclamenstair/Generated/Settings_generated.h>
#include <Cyclamenstair/Membership/GossipTable.h>
#include <Cyclamenstair/Node/Request.h>
#include <Cyclamenstair/Node/TargetDirectory.h>

#include <condition_variable>
#include <memory>

namespace cyclamenstair {

/// Blocks the threads that handle requests until the admission controller grants or refuses their requests. Callable
/// from many threads.
class AdmissionGate {
public:
    /// Permit of a granted request. The destructor releases it.
    class Permit {
    public:
        Permit(AdmissionGate& gate, AdmissionCompletion release, TimePoint startedAt)
            : m_gate(&gate)
            , m_release(std::move(release))
            , m_startedAt(startedAt)
        {
        }
        ~Permit();
        Permit(const Permit&) = delete;
        Permit& operator=(const Permit&) = delete;

        /// Marks the response as complete, so that its service time counts as an observation.
        void markComplete() { markComplete(monotonicNow() - m_startedAt); }
        void markComplete(Duration serviceTime)
        {
            m_release.isComplete = true;
            m_release.serviceTime = serviceTime;
        }

    private:
        AdmissionGate* m_gate;
        AdmissionCompletion m_release;
        TimePoint m_startedAt;
    };

    AdmissionGate(const schema::SettingsT& settings, const TargetDirectory& directory, const GossipTable& gossip);

    /// Blocks until the request is granted or refused. `workTokens` is its expected work in tokens.
    std::variant<std::unique_ptr<Permit>, RequestFailure> acquire(const Request& request, double workTokens);

    /// Returns the number of nodes with a recent gossip entry, at least 1 for this node.
    size_t liveNodes() const;

private:
    /// State of a thread that waits for its decision.
    struct Waiter {
        std::mutex mutex;
        std::condition_variable decisionReady;
        std::optional<AdmissionDecision> decision;
    };
    using Waiters = std::unordered_map<AdmissionTicket, Waiter*>;

    AdmissionDecision waitForDecision(
        const AdmissionRequest& request, AdmissionTicket ticket, const AdmissionCapacity& capacity);
    /// Passes the decisions to the threads that wait for them.
    void deliver(const std::vector<DeferredDecision>& deferredDecisions);

    schema::SettingsT m_settings;
    const TargetDirectory* m_directory;
    const GossipTable* m_gossip;
    std::unique_ptr<AdmissionController> m_controller;
    Sharded<AdmissionTicket, Waiters> m_waiters;
};

} // namespace cyclamenstair
