#include <Cyclamenstair/Admission/DeadlinePolicy.h>

#include <algorithm>

namespace cyclamenstair {

namespace {

    /// Minimum limit of a node. With at least two slots, long work leaves one for short work.
    constexpr size_t minNodeLimit = 2;

    ConcurrencyBounds concurrencyBounds(const AdmissionCapacity& capacity, size_t inFlightPerTarget)
    {
        const size_t maxLimit = std::max<size_t>(1, capacity.targets) * inFlightPerTarget;
        const size_t initialLimit = maxLimit / std::max<size_t>(1, capacity.liveNodes);
        return { static_cast<double>(minNodeLimit), static_cast<double>(std::max(minNodeLimit, maxLimit)),
            static_cast<double>(std::max(minNodeLimit, initialLimit)) };
    }

} // namespace

AdmissionResult DeadlinePolicy::submit(
    AdmissionTicket ticket, const AdmissionRequest& request, const AdmissionCapacity& capacity, TimePoint now)
{
    return m_groups.withShard(request.artifact, [&](Groups& groups) {
        return groups[request.artifact].submit(
            ticket, request, concurrencyBounds(capacity, m_settings.inFlightPerTarget), m_budget, now);
    });
}

std::vector<DeferredDecision> DeadlinePolicy::release(const AdmissionCompletion& completion, TimePoint now)
{
    return m_groups.withShard(completion.artifact,
        [&](Groups& groups) { return groups[completion.artifact].release(completion, m_budget, now); });
}

std::optional<AdmissionRefused> DeadlinePolicy::cancel(const std::string& artifact, AdmissionTicket ticket)
{
    return m_groups.withShard(artifact, [&](Groups& groups) { return groups[artifact].cancel(ticket, m_budget); });
}

} // namespace cyclamenstair
