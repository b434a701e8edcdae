#include <Cyclamenstair/Placement/PoolAssignment.h>

#include <algorithm>
#include <set>
#include <tuple>

namespace cyclamenstair {

namespace {

    /// Assignment under construction.
    class Assigner {
    public:
        explicit Assigner(const std::vector<PlacementTarget>& targets)
        {
            for (const auto& target : targets) {
                if (!target.isLeaving)
                    m_slots.push_back({ &target, target.capacityBytes, {} });
            }
        }

        /// Places up to `replicas` copies; `requiredModel` must already be on the target unless it is empty.
        void place(
            const std::string& artifact, uint64_t memoryBytes, uint32_t replicas, const std::string& requiredModel)
        {
            std::set<std::string> usedDomains;
            for (uint32_t copy = 0; copy < replicas; ++copy) {
                auto* slot = bestSlot(artifact, memoryBytes, requiredModel, usedDomains);
                if (!slot) {
                    m_assignment.unplaced.push_back(artifact);
                    return;
                }
                slot->freeBytes -= memoryBytes;
                slot->artifacts.insert(artifact);
                usedDomains.insert(slot->target->failureDomain);
                m_assignment.artifactsByTarget[slot->target->target].push_back(artifact);
            }
        }

        PoolAssignment take() { return std::move(m_assignment); }

    private:
        struct Slot {
            const PlacementTarget* target;
            uint64_t freeBytes;
            std::set<std::string> artifacts;
        };

        Slot* bestSlot(const std::string& artifact, uint64_t memoryBytes, const std::string& requiredModel,
            const std::set<std::string>& usedDomains)
        {
            Slot* best = nullptr;
            auto bestRank = std::make_tuple(false, false, uint64_t(0));
            for (auto& slot : m_slots) {
                const bool lacksModel = !requiredModel.empty() && !slot.artifacts.contains(requiredModel);
                if (lacksModel || slot.freeBytes < memoryBytes || slot.artifacts.contains(artifact))
                    continue;
                const bool isNewDomain = !usedDomains.contains(slot.target->failureDomain);
                const bool isPresent = slot.target->ledger && slot.target->ledger->find(artifact);
                const auto rank = std::make_tuple(isNewDomain, isPresent, slot.freeBytes);
                if (!best || rank > bestRank) {
                    best = &slot;
                    bestRank = rank;
                }
            }
            return best;
        }

        std::vector<Slot> m_slots;
        PoolAssignment m_assignment;
    };

} // namespace

PoolAssignment assignArtifacts(const Plan& plan, const std::vector<PlacementTarget>& targets)
{
    Assigner assigner(targets);

    // Important and large models first, because they are the hardest to place later.
    auto models = plan.models;
    std::stable_sort(models.begin(), models.end(), [](const auto& a, const auto& b) {
        return std::tie(a.priority, a.memoryBytes) > std::tie(b.priority, b.memoryBytes);
    });
    for (const auto& model : models)
        assigner.place(model.name, model.memoryBytes, model.replicas, "");
    for (const auto& adapter : plan.adapters)
        assigner.place(adapter.name, adapter.memoryBytes, adapter.replicas, adapter.model);
    return assigner.take();
}

} // namespace cyclamenstair
