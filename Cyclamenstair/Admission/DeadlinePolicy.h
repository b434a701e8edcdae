#pragma once

#include <Cyclamenstair/Admission/AdmissionGroup.h>
#include <Cyclamenstair/Core/Sharded.h>

#include <memory>
#include <unordered_map>

namespace cyclamenstair {

/// Settings of a DeadlinePolicy.
struct DeadlinePolicySettings {
    size_t inFlightPerTarget { 16 }; ///< Maximum requests in flight per target that holds the artifact.
    size_t maxQueued { 512 }; ///< Maximum requests queued in the node.
    size_t maxQueuedBytes { 16 << 20 };
};

/// Refuses requests whose response is not expected within their window, and grants the others as the targets have free
/// slots. Thread-safe.
class DeadlinePolicy {
public:
    explicit DeadlinePolicy(const DeadlinePolicySettings& settings)
        : m_settings(settings)
        , m_budget(settings.maxQueued, settings.maxQueuedBytes)
    {
    }

    AdmissionResult submit(
        AdmissionTicket ticket, const AdmissionRequest& request, const AdmissionCapacity& capacity, TimePoint now);
    std::vector<DeferredDecision> release(const AdmissionCompletion& completion, TimePoint now);
    std::optional<AdmissionRefused> cancel(const std::string& artifact, AdmissionTicket ticket);

    size_t queuedRequests() const { return m_budget.requests(); }
    size_t queuedBytes() const { return m_budget.bytes(); }

private:
    using Groups = std::unordered_map<std::string, AdmissionGroup>;

    DeadlinePolicySettings m_settings;
    QueueBudget m_budget;
    Sharded<std::string, Groups> m_groups; ///< By artifact.
};

} // namespace cyclamenstair
