#pragma once

#include <Cyclamenstair/Placement/PlacementTypes.h>

#include <functional>

namespace cyclamenstair {

/// Computes the desired copies of artifacts on a pool's targets, step by step. Memory pinned by open orders of previous
/// owners is not assigned to other artifacts.
class CopyPlanner {
public:
    CopyPlanner(const Plan& plan, const std::vector<PlacementTarget>& targets, const DemandByArtifact& demand);

    /// Places the planned copies: first one copy of each model, then the replicas in other failure domains, then the
    /// adapters on targets with their base models. Existing copies stay in place where these rules allow it.
    void placePlannedCopies();

    /// Retains existing copies that are not planned while memory is left, in descending order of demand.
    void retainExistingCopies();

    /// Adds copies of models while memory is free. Each step adds a copy of the model with the highest demand per copy,
    /// as computed by `demandRate`, until that demand is not above `minDemand`.
    void addModelCopies(const std::function<double(const ArtifactDemand&)>& demandRate, double minDemand);

    /// Adds copies of adapters on further targets with their base models while memory is free and the demand per copy
    /// is above `minDemand`.
    void addAdapterCopies(const std::function<double(const ArtifactDemand&)>& demandRate, double minDemand);

    /// Replaces unplanned copies on one target by a copy of the model with the highest sustained demand per copy that
    /// fits. That demand must be above `minDemand` and above `minDemandRatio` times the peak demand per remaining copy
    /// of each replaced model. `canReplace` returns true if a copy has been in place for long enough. Returns true if
    /// a copy was replaced.
    bool replaceLowestDemandCopy(double minDemandRatio, double minDemand,
        const std::function<bool(const std::string& target, const std::string& artifact)>& canReplace);

    const CopiesByTarget& copies() const { return m_copies; }
    const CopiesByTarget& plannedCopies() const { return m_planned; }
    const std::vector<std::string>& unplaced() const { return m_unplaced; }

private:
    struct TargetState {
        const PlacementTarget* target;
        uint64_t unassignedBytes; ///< Memory that is neither pinned nor assigned to a copy.
        uint64_t unoccupiedBytes; ///< Memory that is currently free and not needed by a copy added so far.
        std::set<std::string> pinned;
    };

    bool placeCopy(const std::string& artifact, uint64_t memoryBytes, const std::string& baseModel,
        std::set<std::string>& occupiedDomains);
    TargetState* findTargetForExtraCopy(
        const std::string& artifact, uint64_t memoryBytes, const std::string& baseModel);
    void addCopy(TargetState& targetState, const std::string& artifact, uint64_t memoryBytes);
    bool canPlace(const TargetState& targetState, const std::string& artifact, uint64_t memoryBytes) const;
    bool hasCopy(const TargetState& targetState, const std::string& artifact) const;
    bool isPresent(const TargetState& targetState, const std::string& artifact) const;
    bool hasBaseModel(const TargetState& targetState, const std::string& model) const;
    const ArtifactDemand& demandOf(const std::string& artifact) const;
    double expectedLoad(const TargetState& targetState) const;
    void removeCopy(TargetState& targetState, const ModelSpec& model);

    const Plan* m_plan;
    const DemandByArtifact* m_demand;
    std::vector<TargetState> m_targetStates;
    size_t m_domainCount { 0 };
    std::map<std::string, uint32_t> m_copyCounts;
    CopiesByTarget m_copies;
    CopiesByTarget m_planned;
    std::vector<std::string> m_unplaced;
};

} // namespace cyclamenstair
