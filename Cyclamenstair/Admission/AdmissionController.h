#pragma once

#include <Cyclamenstair/Admission/AcceptAllPolicy.h>
#include <Cyclamenstair/Admission/DeadlinePolicy.h>

#include <atomic>

namespace cyclamenstair {

using AdmissionPolicy = std::variant<AcceptAllPolicy, DeadlinePolicy>;

/// Admits, queues or refuses requests by the policy it was made with. Callable from many threads.
class AdmissionController {
public:
    AdmissionController()
        : m_policy(std::in_place_type<AcceptAllPolicy>)
    {
    }
    explicit AdmissionController(const DeadlinePolicySettings& settings)
        : m_policy(std::in_place_type<DeadlinePolicy>, settings)
    {
    }

    AdmissionTicket nextTicket() { return ++m_tickets; }

    /// Decides on a request. The verdicts on other requests and later ones on this request go to their owners.
    AdmissionResult submit(
        AdmissionTicket ticket, const AdmissionRequest& request, const AdmissionCapacity& capacity, TimePoint now)
    {
        return std::visit([&](auto& policy) { return policy.submit(ticket, request, capacity, now); }, m_policy);
    }

    /// Takes the end of a granted request; returns verdicts on queued ones.
    std::vector<AdmissionVerdict> release(const AdmissionRelease& end, TimePoint now)
    {
        return std::visit([&](auto& policy) { return policy.release(end, now); }, m_policy);
    }

    /// Removes a request that still waits; returns no value if its verdict was given before.
    std::optional<AdmissionRefused> withdraw(const std::string& artifact, AdmissionTicket ticket)
    {
        return std::visit([&](auto& policy) { return policy.withdraw(artifact, ticket); }, m_policy);
    }

private:
    AdmissionPolicy m_policy;
    std::atomic<AdmissionTicket> m_tickets { 0 };
};

} // namespace cyclamenstair
