#pragma once

#include <Benchmarks/LoadFleet.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cyclamenstair::load {

/// Options that all scenarios share.
struct ScenarioOptions {
    DeploymentKind deployment { DeploymentKind::PrairieHours };
    uint64_t seed { 20261204 };
    double timeScale { 1 }; ///< Factor for the lengths of all phases; below 1 for trials.
    double crestLoad { 1.2 }; ///< Load at the top of the swing, as a multiple of the engines' capacity.
    size_t threads { 500 }; ///< Calls that the load generator can have in flight.
    std::map<std::string, std::string> nodeSettings; ///< Further settings of the nodes by "section.key".
};

/// Results of a scenario.
struct ScenarioReport {
    std::vector<LoadResult> results;
    std::vector<BoundCheck> checks;
    std::string text; ///< Further lines of the report.
    nlohmann::json details = nlohmann::json::object();

    /// Returns whether an invariant was broken in any run.
    bool hasFindings() const;
    nlohmann::json toJson() const;
};

/// Tenfold swing within 2 s, up to `crestLoad` times the engines' capacity.
struct CrestScenario {
    static constexpr std::string_view name = "crest";
};

/// Two of twelve engines ten times slower for 20 s, with load reports 5 s late.
struct StragglersScenario {
    static constexpr std::string_view name = "stragglers";
};

/// Short work alone, then with long work as 10% of the requests.
struct LongWorkScenario {
    static constexpr std::string_view name = "long-work";
};

/// Goodput at 1 and at 3 times the capacity.
struct OverloadScenario {
    static constexpr std::string_view name = "overload";
};

/// Processor time, memory and latency that a node adds.
struct NodeCostScenario {
    static constexpr std::string_view name = "node-cost";
};

using Scenario = std::variant<CrestScenario, StragglersScenario, LongWorkScenario, OverloadScenario, NodeCostScenario>;

/// Returns the scenario called `name`, or no value.
std::optional<Scenario> scenarioFromName(std::string_view name);

/// Returns the names of all scenarios.
std::vector<std::string> scenarioNames();

/// Runs the scenario with the baseline and then with the default settings.
ScenarioReport runScenario(const Scenario& scenario, const ScenarioOptions& options);

} // namespace cyclamenstair::load
