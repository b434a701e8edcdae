#pragma once

#include <Benchmarks/LoadFleet.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cyclamenstair::load {

/// Options common to all scenarios.
struct ScenarioOptions {
    DeploymentKind deployment { DeploymentKind::PrairieHours };
    uint64_t seed { 20261204 };
    double timeScale { 1 }; ///< Factor for the durations of all phases; below 1 for trials.
    double crestLoad { 1.2 }; ///< Peak load as a multiple of the engines' capacity.
    size_t threads { 500 }; ///< Maximum number of requests in flight.
    std::map<std::string, std::string> nodeSettings; ///< Additional node settings by "section.key".
};

/// Results of a scenario.
struct ScenarioReport {
    std::vector<LoadResult> results;
    std::vector<BoundCheck> checks;
    std::string text; ///< Additional lines of the report.
    nlohmann::json details = nlohmann::json::object();

    /// Returns whether any run violated an invariant.
    bool hasFindings() const;
    nlohmann::json toJson() const;
};

/// Tenfold rise of the load within 2 s, up to `crestLoad` times the engines' capacity.
struct CrestScenario {
    static constexpr std::string_view name = "crest";
};

/// Two of twelve engines ten times slower for 20 s, with load reports delayed by 5 s.
struct StragglersScenario {
    static constexpr std::string_view name = "stragglers";
};

/// Short work only, then with 10% long work.
struct LongWorkScenario {
    static constexpr std::string_view name = "long-work";
};

/// Goodput at 1 and 3 times the engines' capacity.
struct OverloadScenario {
    static constexpr std::string_view name = "overload";
};

/// Processor time, memory and latency added by a node.
struct NodeCostScenario {
    static constexpr std::string_view name = "node-cost";
};

using Scenario = std::variant<CrestScenario, StragglersScenario, LongWorkScenario, OverloadScenario, NodeCostScenario>;

/// Returns the scenario with the given name, or no value if there is none.
std::optional<Scenario> scenarioFromName(std::string_view name);

/// Returns the names of all scenarios.
std::vector<std::string> scenarioNames();

/// Runs the scenario with the baseline settings, then with the default settings.
ScenarioReport runScenario(const Scenario& scenario, const ScenarioOptions& options);

} // namespace cyclamenstair::load
