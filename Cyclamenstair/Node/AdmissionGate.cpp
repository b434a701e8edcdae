#include <Cyclamenstair/Node/AdmissionGate.h>

#include <Cyclamenstair/Core/Overloaded.h>
#include <Cyclamenstair/Node/GossipKeys.h>

#include <algorithm>

namespace cyclamenstair {

namespace {

    /// Memory of a queued request in addition to its body.
    constexpr size_t requestOverheadBytes = 1024;

    std::unique_ptr<AdmissionController> makeController(const schema::SettingsT& all)
    {
        const auto& settings = *all.admission;
        if (settings.policy == schema::AdmissionPolicyKind::AcceptAll)
            return std::make_unique<AdmissionController>();
        DeadlinePolicySettings policy;
        policy.inFlightPerTarget = static_cast<size_t>(settings.in_flight_per_target);
        // A queued request occupies a worker thread; half of the threads stay free for requests in progress.
        policy.maxQueued = static_cast<size_t>(std::min(settings.max_queued, all.caller->threads / 2));
        policy.maxQueuedBytes = static_cast<size_t>(settings.max_queued_bytes);
        return std::make_unique<AdmissionController>(policy);
    }

    RequestFailure toFailure(const AdmissionRefused& refused)
    {
        const auto reason = refused.refusal == AdmissionRefusal::QueueFull
            ? "the admission queue of the node is full"
            : "the request cannot be completed within its response window under the current load";
        return { RequestOutcome::NotRun, { ErrorKind::NotRun, "request.admission", "", reason }, refused.retryAfter };
    }

} // namespace

AdmissionGate::Permit::~Permit() { m_gate->deliver(m_gate->m_controller->release(m_release, monotonicNow())); }

AdmissionGate::AdmissionGate(
    const schema::SettingsT& settings, const TargetDirectory& directory, const GossipTable& gossip)
    : m_settings(settings)
    , m_directory(&directory)
    , m_gossip(&gossip)
    , m_controller(makeController(settings))
{
}

size_t AdmissionGate::liveNodes() const
{
    const auto limit = milliseconds(m_settings.peer->member_timeout_ms);
    return std::max<size_t>(1, m_gossip->recentKeys(memberKeyPrefix, limit, monotonicNow()).size());
}

std::variant<std::unique_ptr<AdmissionGate::Permit>, RequestFailure> AdmissionGate::acquire(
    const Request& request, double workTokens)
{
    AdmissionRequest admission;
    admission.caller = request.caller;
    admission.artifact = request.artifact;
    admission.priority = request.priority;
    admission.workClass = request.workClass;
    admission.work = workTokens;
    admission.bytes = request.body.size() + requestOverheadBytes;
    admission.deadline = request.arrival + request.window;
    const AdmissionCapacity capacity { m_directory->candidates(request.artifact).size(), liveNodes() };
    const auto decision = waitForDecision(admission, m_controller->nextTicket(), capacity);
    if (const auto* refused = std::get_if<AdmissionRefused>(&decision))
        return toFailure(*refused);
    return std::make_unique<Permit>(*this,
        AdmissionCompletion { request.artifact, request.workClass, workTokens, Duration(0), false }, monotonicNow());
}

AdmissionDecision AdmissionGate::waitForDecision(
    const AdmissionRequest& request, AdmissionTicket ticket, const AdmissionCapacity& capacity)
{
    // Registered before the request is submitted, because another thread may deliver its verdict immediately.
    Waiter waiter;
    m_waiters.withShard(ticket, [&](Waiters& waiters) { waiters.emplace(ticket, &waiter); });
    const auto result = m_controller->submit(ticket, request, capacity, monotonicNow());
    deliver(result.deferredDecisions);
    auto decision = result.decision;
    if (const auto* queued = std::get_if<AdmissionQueued>(&decision)) {
        const auto isDecided = [&] { return waiter.decision.has_value(); };
        std::unique_lock lock(waiter.mutex);
        if (!waiter.decisionReady.wait_until(lock, queued->latestStart, isDecided)) {
            lock.unlock();
            if (const auto refused = m_controller->cancel(request.artifact, ticket)) {
                lock.lock();
                waiter.decision = *refused;
            } else {
                // The controller has already decided; another thread is about to deliver the verdict.
                lock.lock();
                waiter.decisionReady.wait(lock, isDecided);
            }
        }
        decision = *waiter.decision;
    }
    // deliver() holds the shard's lock, so no thread accesses the waiter after this.
    m_waiters.withShard(ticket, [&](Waiters& waiters) { waiters.erase(ticket); });
    return decision;
}

void AdmissionGate::deliver(const std::vector<DeferredDecision>& deferredDecisions)
{
    for (const auto& deferred : deferredDecisions) {
        m_waiters.withShard(deferred.ticket, [&](Waiters& waiters) {
            const auto found = waiters.find(deferred.ticket);
            if (found == waiters.end())
                return;
            auto& waiter = *found->second;
            std::lock_guard lock(waiter.mutex);
            waiter.decision = deferred.decision;
            waiter.decisionReady.notify_one();
        });
    }
}

} // namespace cyclamenstair
