#include <Cyclamenstair/Admission/DeadlinePolicy.h>

#include <algorithm>

namespace cyclamenstair {

namespace {

    /// Limit below which a node never goes. With at least two places, long work leaves one for short work.
    constexpr size_t leastLimit = 2;

    ConcurrencyBounds boundsOf(const AdmissionCapacity& capacity, size_t inFlightPerTarget)
    {
        const size_t most = std::max<size_t>(1, capacity.targets) * inFlightPerTarget;
        const size_t start = most / std::max<size_t>(1, capacity.liveNodes);
        return { static_cast<double>(leastLimit), static_cast<double>(std::max(leastLimit, most)),
            static_cast<double>(std::max(leastLimit, start)) };
    }

} // namespace

AdmissionResult DeadlinePolicy::submit(
    AdmissionTicket ticket, const AdmissionRequest& request, const AdmissionCapacity& capacity, TimePoint now)
{
    return m_groups.withShard(request.artifact, [&](Groups& groups) {
        return groups[request.artifact].submit(
            ticket, request, boundsOf(capacity, m_settings.inFlightPerTarget), m_budget, now);
    });
}

std::vector<AdmissionVerdict> DeadlinePolicy::release(const AdmissionRelease& end, TimePoint now)
{
    return m_groups.withShard(
        end.artifact, [&](Groups& groups) { return groups[end.artifact].release(end, m_budget, now); });
}

std::optional<AdmissionRefused> DeadlinePolicy::withdraw(const std::string& artifact, AdmissionTicket ticket)
{
    return m_groups.withShard(artifact, [&](Groups& groups) { return groups[artifact].withdraw(ticket, m_budget); });
}

} // namespace cyclamenstair
