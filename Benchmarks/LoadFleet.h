#pragma once

#include <Benchmarks/LoadResult.h>

#include <set>
#include <string>
#include <vector>

namespace cyclamenstair::load {

/// Faults that a run sets on engines at a given time.
struct ScheduledFault {
    double atSeconds { 0 }; ///< From the start of the run.
    std::vector<int> engines;
    nlohmann::json faults;
};

/// Settings of a run against a fleet.
struct RunSettings {
    std::string name;
    MixSettings mix;
    std::vector<ScheduledFault> faults;
    size_t threads { 500 }; ///< Maximum number of requests in flight.
    double measureFromSeconds {
        0
    }; ///< Only requests that arrive in [measureFromSeconds, measureToSeconds) are measured.
    double measureToSeconds { 1e9 };
};

/// Fleet of a deployment as processes on loopback, with an accepted plan.
class LoadFleet {
public:
    /// Starts the fleet, accepts the plan and waits until the copies are loaded. Throws std::runtime_error if the plan
    /// is rejected or an artifact is not reachable in time.
    LoadFleet(const Deployment& deployment, PolicyKind policy);

    /// Sends a request mix and checks the responses against the targets' logs.
    LoadResult run(const RunSettings& settings);

    testing::ProcessFleet& processes() { return m_processes; }
    PolicyKind policy() const { return m_policy; }

private:
    void waitForPlan();
    int64_t weightLoadCount();
    size_t copyCount();
    testing::TargetLogs collectTargetLogs(const std::vector<RequestResult>& results, LoadResult& result);

    Deployment m_deployment;
    PolicyKind m_policy;
    testing::ProcessFleet m_processes;
};

} // namespace cyclamenstair::load
