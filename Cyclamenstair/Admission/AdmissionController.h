#pragma once

#include <Cyclamenstair/Admission/AcceptAllPolicy.h>
#include <Cyclamenstair/Admission/DeadlinePolicy.h>

#include <atomic>

namespace cyclamenstair {

using AdmissionPolicy = std::variant<AcceptAllPolicy, DeadlinePolicy>;

/// Grants, queues or refuses requests according to its policy. Thread-safe.
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

    AdmissionTicket nextTicket() { return ++m_lastTicket; }

    /// Decides on a request. The result's deferred decisions concern other requests and must be delivered to the
    /// threads that submitted them.
    AdmissionResult submit(
        AdmissionTicket ticket, const AdmissionRequest& request, const AdmissionCapacity& capacity, TimePoint now)
    {
        return std::visit([&](auto& policy) { return policy.submit(ticket, request, capacity, now); }, m_policy);
    }

    /// Records the end of a granted request; returns the resulting decisions on queued requests.
    std::vector<DeferredDecision> release(const AdmissionCompletion& completion, TimePoint now)
    {
        return std::visit([&](auto& policy) { return policy.release(completion, now); }, m_policy);
    }

    /// Removes a queued request; returns no value if it was already decided.
    std::optional<AdmissionRefused> cancel(const std::string& artifact, AdmissionTicket ticket)
    {
        return std::visit([&](auto& policy) { return policy.cancel(artifact, ticket); }, m_policy);
    }

private:
    AdmissionPolicy m_policy;
    std::atomic<AdmissionTicket> m_lastTicket { 0 };
};

} // namespace cyclamenstair
