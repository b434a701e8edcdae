#pragma once

#include <Benchmarks/LoadResult.h>

#include <set>
#include <string>
#include <vector>

namespace cyclamenstair::load {

/// Fault that a run sets on engines at a given time.
struct ScheduledFault {
    double atSeconds { 0 };
    std::vector<int> engines;
    nlohmann::json faults;
};

/// One run against a fleet.
struct RunSettings {
    std::string name;
    MixSettings mix;
    std::vector<ScheduledFault> faults;
    size_t threads { 500 };
    double countFrom { 0 }; ///< Calls that arrive in [countFrom, countTo) count for the figures.
    double countTo { 1e9 };
};

/// Fleet of a deployment with an accepted plan, as processes on loopback.
class LoadFleet {
public:
    /// Starts the fleet and waits until all planned copies are loaded; throws if that takes too long.
    LoadFleet(const Deployment& deployment, PolicyKind policy);

    /// Sends a mix and checks each answer and the targets' logs.
    LoadResult run(const RunSettings& settings);

    testing::ProcessFleet& processes() { return m_processes; }
    PolicyKind policy() const { return m_policy; }

private:
    void waitForPlan();
    int64_t weightLoads();
    size_t copies();
    testing::TargetLogs readLogs(const std::vector<CallResult>& results, LoadResult& result);

    Deployment m_deployment;
    PolicyKind m_policy;
    testing::ProcessFleet m_processes;
};

} // namespace cyclamenstair::load
