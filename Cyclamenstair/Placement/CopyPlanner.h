#pragma once

#include <Cyclamenstair/Placement/PlacementTypes.h>

#include <functional>

namespace cyclamenstair {

/// Copies of artifacts on targets under construction. Memory that open orders of former owners pin is never given to
/// other artifacts.
class CopyPlanner {
public:
    CopyPlanner(const Plan& plan, const std::vector<PlacementTarget>& targets, const DemandByArtifact& demand);

    /// Places the copies that the plan asks for: at first one of each model, then the replicas in other failure
    /// domains, then the adapters beside their base models. Present copies stay where the rules allow it.
    void placePlanned();

    /// Keeps present copies beyond the plan where memory is left, those with the highest demand first.
    void keepPresentCopies();

    /// Adds copies of models while memory is free, at each step for the model with the highest demand per copy by
    /// `rate`, as long as that demand is above `least`.
    void addModelCopies(const std::function<double(const ArtifactDemand&)>& rate, double least);

    /// Adds copies of adapters beside other copies of their base models while memory is free.
    void addAdapterCopies(const std::function<double(const ArtifactDemand&)>& rate, double least);

    /// Replaces one copy beyond the plan by a copy of the model with the highest lasting demand per copy, if that is
    /// above `least` and above `ratio` times the possible demand per remaining copy of each replaced model.
    /// `mayReplace` tells whether a copy has been in its place for long enough. Returns whether it did.
    bool replaceLeastWanted(double ratio, double least,
        const std::function<bool(const std::string& target, const std::string& artifact)>& mayReplace);

    const CopiesByTarget& copies() const { return m_copies; }
    const CopiesByTarget& plannedCopies() const { return m_planned; }
    const std::vector<std::string>& unplaced() const { return m_unplaced; }

private:
    struct Slot {
        const PlacementTarget* target;
        uint64_t freeBytes; ///< Memory that is neither pinned nor given to a copy.
        uint64_t spareBytes; ///< Memory that nothing occupies now and no copy under construction needs.
        std::set<std::string> pinned;
    };

    bool placeCopy(const std::string& artifact, uint64_t memoryBytes, const std::string& baseModel,
        std::set<std::string>& usedDomains);
    Slot* slotForExtra(const std::string& artifact, uint64_t memoryBytes, const std::string& baseModel);
    void put(Slot& slot, const std::string& artifact, uint64_t memoryBytes);
    bool canHold(const Slot& slot, const std::string& artifact, uint64_t memoryBytes) const;
    bool holds(const Slot& slot, const std::string& artifact) const;
    bool isPresent(const Slot& slot, const std::string& artifact) const;
    bool isBase(const Slot& slot, const std::string& model) const;
    const ArtifactDemand& demandOf(const std::string& artifact) const;
    double loadOf(const Slot& slot) const;
    void removeCopy(Slot& slot, const ModelSpec& model);

    const Plan* m_plan;
    const DemandByArtifact* m_demand;
    std::vector<Slot> m_slots;
    size_t m_domainCount { 0 };
    std::map<std::string, uint32_t> m_copyCounts;
    CopiesByTarget m_copies;
    CopiesByTarget m_planned;
    std::vector<std::string> m_unplaced;
};

} // namespace cyclamenstair
