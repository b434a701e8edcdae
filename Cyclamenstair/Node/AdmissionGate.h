#pragma once

#include <Cyclamenstair/Admission/AdmissionController.h>
#include <Cyclamenstair/Generated/Settings_generated.h>
#include <Cyclamenstair/Membership/GossipTable.h>
#include <Cyclamenstair/Node/Request.h>
#include <Cyclamenstair/Node/TargetDirectory.h>

#include <condition_variable>
#include <memory>

namespace cyclamenstair {

/// Holds callers' threads back until their requests may be sent. Callable from many threads.
class AdmissionGate {
public:
    /// Place of a granted request, which it frees when it goes.
    class Pass {
    public:
        Pass(AdmissionGate& gate, AdmissionCompletion end, TimePoint start)
            : m_gate(&gate)
            , m_end(std::move(end))
            , m_start(start)
        {
        }
        ~Pass();
        Pass(const Pass&) = delete;
        Pass& operator=(const Pass&) = delete;

        /// States that the answer was complete, so that its time counts as an observation.
        void markComplete() { markComplete(monotonicNow() - m_start); }
        void markComplete(Duration serviceTime)
        {
            m_end.isComplete = true;
            m_end.serviceTime = serviceTime;
        }

    private:
        AdmissionGate* m_gate;
        AdmissionCompletion m_end;
        TimePoint m_start;
    };

    AdmissionGate(const schema::SettingsT& settings, const TargetDirectory& directory, const GossipTable& gossip);

    /// Blocks until the request is granted or refused. `work` is its expected work in tokens.
    std::variant<std::unique_ptr<Pass>, RequestFailure> enter(const Request& request, double work);

    /// Returns the number of nodes that were heard of recently, this one included.
    size_t liveNodes() const;

private:
    /// A thread that waits for its verdict.
    struct Waiter {
        std::mutex mutex;
        std::condition_variable decided;
        std::optional<AdmissionDecision> decision;
    };
    using Waiters = std::unordered_map<AdmissionTicket, Waiter*>;

    AdmissionDecision wait(const AdmissionRequest& request, AdmissionTicket ticket, const AdmissionCapacity& capacity);
    void deliver(const std::vector<DeferredDecision>& deferredDecisions);

    schema::SettingsT m_settings;
    const TargetDirectory* m_directory;
    const GossipTable* m_gossip;
    std::unique_ptr<AdmissionController> m_controller;
    Sharded<AdmissionTicket, Waiters> m_waiters;
};

} // namespace cyclamenstair
