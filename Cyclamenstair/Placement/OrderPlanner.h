#pragma once

#include <Cyclamenstair/Placement/PlacementTypes.h>

namespace cyclamenstair {

/// Turns the copies wanted on each target into an ordered list of orders.
///
/// Carried out in its order, each step of the list keeps the memory of each target within its capacity and leaves each
/// planned artifact that is reachable with at least one reachable copy. Copies that are not wanted are unloaded only to
/// make room, the least wanted first.
class OrderPlanner {
public:
    OrderPlanner(const PlacementInput& input, const CopiesByTarget& copies, const CopiesByTarget& planned);

    std::vector<PlacementOrder> plan();

private:
    struct Slot {
        const PlacementTarget* target;
        uint64_t usedBytes;
        std::set<std::string> unloaded;
        std::set<std::string> loaded;
    };
    struct WantedLoad {
        Slot* slot;
        PlacementOrder order;
        bool isReachable; ///< Another copy is reachable now.
        double demand; ///< Per present copy.
    };

    void repeatUnanswered();
    void unloadUnwanted();
    std::vector<WantedLoad> missingCopies();
    void load(const WantedLoad& wanted);
    bool makeRoom(Slot& slot, const PlacementOrder& load);
    bool canUnload(const Slot& slot, const ResidencyEntry& entry) const;
    void unload(Slot& slot, const ResidencyEntry& entry, MoveReason reason, const std::string& from);
    void unloadWithAdapters(Slot& slot, const ResidencyEntry& entry, MoveReason reason, const std::string& from);
    bool isWanted(const Slot& slot, const std::string& artifact) const;
    bool isPlanned(const std::string& artifact) const;
    double demandOf(const std::string& artifact) const;
    PlacementOrder loadOrder(const std::string& artifact) const;
    std::string leavingHolder(const std::string& artifact) const;

    const PlacementInput* m_input;
    const CopiesByTarget* m_copies;
    const CopiesByTarget* m_planned;
    LoadBudget m_budget;
    std::vector<Slot> m_slots;
    std::map<std::string, uint32_t> m_reachable; ///< Copies that stay reachable after the orders so far.
    std::vector<PlacementOrder> m_orders;
};

} // namespace cyclamenstair
