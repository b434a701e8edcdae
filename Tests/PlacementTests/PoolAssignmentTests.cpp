#include <Cyclamenstair/Placement/PoolAssignment.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

namespace cyclamenstair {
namespace {

    // Guards against assignments that exceed a target's memory, put replicas in one failure domain, or separate
    // adapters from their base model.
    RC_GTEST_PROP(PoolAssignment, respectsMemoryFailureDomainsAndBaseModels, ())
    {
        Plan plan;
        for (int i = 0; i < *rc::gen::inRange(1, 8); ++i)
            plan.models.push_back(
                { "m" + std::to_string(i), *rc::gen::inRange<uint64_t>(1, 60), 2, Priority::Normal, Duration(0) });
        for (int i = 0; i < *rc::gen::inRange(0, 8); ++i)
            plan.adapters.push_back(
                { "a" + std::to_string(i), "m0", *rc::gen::inRange<uint64_t>(1, 5), 1, Priority::Normal, Duration(0) });
        plan.sortRows();
        std::vector<PlacementTarget> targets;
        for (int i = 0; i < *rc::gen::inRange(1, 6); ++i)
            targets.push_back({ "t" + std::to_string(i), "d" + std::to_string(i % 3), 100, false, nullptr });
        const auto assignment = assignArtifacts(plan, targets);

        std::map<std::string, std::multiset<std::string>> domainsByModel;
        for (const auto& target : targets) {
            const auto assignedRow = assignment.artifactsByTarget.find(target.target);
            if (assignedRow == assignment.artifactsByTarget.end())
                continue;
            const std::set<std::string> assignedArtifacts(assignedRow->second.begin(), assignedRow->second.end());
            uint64_t used = 0;
            for (const auto& artifact : assignedArtifacts) {
                const auto* model = plan.findModel(artifact);
                used += model ? model->memoryBytes : plan.findAdapter(artifact)->memoryBytes;
                if (model)
                    domainsByModel[artifact].insert(target.failureDomain);
                else
                    RC_ASSERT(assignedArtifacts.contains(plan.findAdapter(artifact)->model));
            }
            RC_ASSERT(used <= target.capacityBytes);
        }
        const bool hasTwoDomains = targets.size() >= 2;
        for (const auto& [model, domains] : domainsByModel) {
            if (hasTwoDomains && assignment.unplaced.empty())
                RC_ASSERT(std::set<std::string>(domains.begin(), domains.end()).size() == 2U);
        }
    }

} // namespace
} // namespace cyclamenstair
