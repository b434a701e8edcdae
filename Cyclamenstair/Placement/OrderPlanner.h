#pragma once

#include <Cyclamenstair/Placement/PlacementTypes.h>

namespace cyclamenstair {

/// Computes the orders that bring each target to its desired copies.
///
/// If the orders are executed in sequence, each step keeps every target's memory within its capacity and keeps at least
/// one reachable copy of each planned artifact that is reachable. Undesired copies of planned artifacts are unloaded
/// only to make room, in ascending order of demand.
class OrderPlanner {
public:
    OrderPlanner(const PlacementInput& input, const CopiesByTarget& copies, const CopiesByTarget& planned);

    std::vector<PlacementOrder> plan();

private:
    struct TargetState {
        const PlacementTarget* target;
        uint64_t usedBytes;
        std::set<std::string> unloadedArtifacts;
        std::set<std::string> loadedArtifacts;
    };
    struct LoadCandidate {
        TargetState* targetState;
        PlacementOrder order;
        bool isReachable; ///< Another copy is currently reachable.
        double demand; ///< Demand per reachable copy.
    };

    void retryUnanswered();
    void unloadUnplanned();
    std::vector<LoadCandidate> missingCopies();
    void tryAddLoad(const LoadCandidate& candidate);
    bool freeMemoryFor(TargetState& targetState, const PlacementOrder& loadOrder);
    bool canUnload(const TargetState& targetState, const ResidencyEntry& entry) const;
    void addUnload(TargetState& targetState, const ResidencyEntry& entry, MoveReason reason, const std::string& from);
    void addUnloadWithAdapters(
        TargetState& targetState, const ResidencyEntry& entry, MoveReason reason, const std::string& from);
    bool isDesired(const TargetState& targetState, const std::string& artifact) const;
    bool isPlanned(const std::string& artifact) const;
    double demandOf(const std::string& artifact) const;
    PlacementOrder makeLoadOrder(const std::string& artifact) const;
    std::string leavingTargetWithCopy(const std::string& artifact) const;

    const PlacementInput* m_input;
    const CopiesByTarget* m_copies;
    const CopiesByTarget* m_planned;
    LoadBudget m_budget;
    std::vector<TargetState> m_targetStates;
    std::map<std::string, uint32_t> m_reachableCopies; ///< Copies that remain reachable after the orders added so far.
    std::vector<PlacementOrder> m_orders;
};

} // namespace cyclamenstair
