#include <Benchmarks/Scenario.h>

#include <Benchmarks/NodeCost.h>

#include <Cyclamenstair/Core/Overloaded.h>

#include <algorithm>
#include <functional>

namespace cyclamenstair::load {

namespace {

    constexpr double longWorkShare = 0.1;
    constexpr double stragglersLoadFactor = 0.4;
    constexpr double longWorkLoadFactor = 0.65;
    constexpr double slowFactor = 10;
    constexpr double reportLagMs = 5000;

    using Policies = std::vector<PolicyKind>;

    const Policies& policies()
    {
        static const Policies s_policies { PolicyKind::Baseline, PolicyKind::Default };
        return s_policies;
    }

    Deployment createDeployment(const ScenarioOptions& options)
    {
        auto deployment = Deployment::create(options.deployment);
        deployment.nodeSettings = options.nodeSettings;
        return deployment;
    }

    MixSettings createMix(const ScenarioOptions& options, uint64_t run)
    {
        MixSettings mix;
        mix.seed = options.seed + run;
        return mix;
    }

    /// Returns the requests per second that load the engines at `load` times their capacity.
    double rateForLoad(const Deployment& deployment, const MixSettings& mix, double load)
    {
        return load * deployment.slotSecondsPerSecond()
            / meanSlotSeconds(deployment, mix.longWorkShare, mix.bookingShare);
    }

    std::vector<RatePoint> constantRate(double rate, double seconds) { return { { 0, rate }, { seconds, rate } }; }

    double ratio(double value, double base) { return base > 0 ? value / base : 0; }

    ScenarioReport runCrest(const ScenarioOptions& options)
    {
        const auto deployment = createDeployment(options);
        ScenarioReport report;
        for (const auto policy : policies()) {
            LoadFleet fleet(deployment, policy);
            RunSettings run;
            run.name = "crest";
            run.threads = options.threads;
            run.mix = createMix(options, 0);
            run.mix.longWorkShare = longWorkShare;
            const double peakRate = rateForLoad(deployment, run.mix, options.crestLoad);
            // The rise takes 2 s at every time scale.
            const double rampStartSeconds = 3 * options.timeScale;
            const double peakEndSeconds = rampStartSeconds + 2 + 6 * options.timeScale;
            run.mix.rate
                = { { 0, peakRate / 10 }, { rampStartSeconds, peakRate / 10 }, { rampStartSeconds + 2, peakRate },
                      { peakEndSeconds, peakRate }, { peakEndSeconds + 2, peakRate / 10 } };
            run.measureFromSeconds = rampStartSeconds;
            run.measureToSeconds = peakEndSeconds;
            report.results.push_back(fleet.run(run));
        }
        const auto& baselineResult = report.results[0];
        const auto& defaultResult = report.results[1];
        MixSettings mixWithLongWork;
        mixWithLongWork.longWorkShare = longWorkShare;
        const double capacity = rateForLoad(deployment, mixWithLongWork, 1);
        const double servableRequests
            = std::min(static_cast<double>(defaultResult.requests), capacity * defaultResult.seconds);
        report.checks
            = { { "crest: in window, default / baseline",
                    ratio(static_cast<double>(defaultResult.inWindow), static_cast<double>(baselineResult.inWindow)),
                    1.5, false },
                  { "crest: in window, default / what the engines can serve",
                      ratio(static_cast<double>(defaultResult.inWindow), servableRequests), 0.9, false } };
        return report;
    }

    ScenarioReport runStragglers(const ScenarioOptions& options)
    {
        const auto deployment = createDeployment(options);
        ScenarioReport report;
        const double slowStartSeconds = 2;
        const double slowSeconds = 20 * options.timeScale;
        for (const auto policy : policies()) {
            LoadFleet fleet(deployment, policy);
            for (int engine = 0; engine < deployment.engines; ++engine)
                testing::ProcessFleet::setFaults(
                    fleet.processes().engineAddress(engine), { { "report_lag_ms", reportLagMs } });
            for (const bool hasStragglers : { false, true }) {
                RunSettings run;
                run.name = hasStragglers ? "stragglers: 2 of 12 slow" : "stragglers: none slow";
                run.threads = options.threads;
                run.mix = createMix(options, hasStragglers ? 1 : 0);
                run.mix.rate = constantRate(
                    rateForLoad(deployment, run.mix, stragglersLoadFactor), slowStartSeconds + slowSeconds + 1);
                run.measureFromSeconds = slowStartSeconds;
                run.measureToSeconds = slowStartSeconds + slowSeconds;
                if (hasStragglers)
                    run.faults = { { slowStartSeconds, { 0, 1 }, { { "slow_factor", slowFactor } } },
                        { slowStartSeconds + slowSeconds, { 0, 1 }, { { "slow_factor", 1 } } } };
                report.results.push_back(fleet.run(run));
            }
        }
        const auto p99Ratio = [&](size_t first) {
            auto& results = report.results;
            return ratio(results[first + 1].latency[WorkClass::Short].percentile(0.99),
                results[first].latency[WorkClass::Short].percentile(0.99));
        };
        const auto& slowResult = report.results[3];
        report.checks = { { "stragglers: p99 of short work, with / without, baseline", p99Ratio(0), 1.5, true },
            { "stragglers: p99 of short work, with / without, default", p99Ratio(2), 1.5, true },
            { "stragglers: extra attempts / requests, default",
                ratio(static_cast<double>(slowResult.extraAttempts), static_cast<double>(slowResult.requests)), 0.05,
                true } };
        return report;
    }

    ScenarioReport runLongWork(const ScenarioOptions& options)
    {
        const auto deployment = createDeployment(options);
        ScenarioReport report;
        const double seconds = 10 * options.timeScale;
        for (const auto policy : policies()) {
            LoadFleet fleet(deployment, policy);
            for (const bool hasLongWork : { false, true }) {
                RunSettings run;
                run.name = hasLongWork ? "long-work: 10% long" : "long-work: short only";
                run.threads = options.threads;
                run.mix = createMix(options, hasLongWork ? 1 : 0);
                // Both runs send short work at the same rate; `longWorkLoadFactor` is the load of the run with long
                // work.
                auto mixWithLongWork = run.mix;
                mixWithLongWork.longWorkShare = longWorkShare;
                const double rate = rateForLoad(deployment, mixWithLongWork, longWorkLoadFactor);
                run.mix.longWorkShare = hasLongWork ? longWorkShare : 0;
                run.mix.rate = constantRate(hasLongWork ? rate : rate * (1 - longWorkShare), seconds);
                report.results.push_back(fleet.run(run));
            }
        }
        const auto p99WaitRatio = [&](size_t first) {
            return ratio(report.results[first + 1].shortWaitTimes.percentile(0.99),
                report.results[first].shortWaitTimes.percentile(0.99));
        };
        report.checks
            = { { "long-work: p99 waiting of short work, with / without, baseline", p99WaitRatio(0), 1.5, true },
                  { "long-work: p99 waiting of short work, with / without, default", p99WaitRatio(2), 1.5, true } };
        return report;
    }

    ScenarioReport runOverload(const ScenarioOptions& options)
    {
        const auto deployment = createDeployment(options);
        ScenarioReport report;
        const double seconds = 8 * options.timeScale;
        for (const auto policy : policies()) {
            LoadFleet fleet(deployment, policy);
            for (const int load : { 1, 3 }) {
                RunSettings run;
                run.name = "overload: " + std::to_string(load) + " x capacity";
                // With fewer threads, requests would time out before they are sent.
                run.threads = options.threads * static_cast<size_t>(load);
                run.mix = createMix(options, static_cast<uint64_t>(load));
                run.mix.longWorkShare = longWorkShare;
                run.mix.rate = constantRate(rateForLoad(deployment, run.mix, load), seconds);
                report.results.push_back(fleet.run(run));
            }
        }
        const auto goodputRatio
            = [&](size_t first) { return ratio(report.results[first + 1].goodput, report.results[first].goodput); };
        report.checks = { { "overload: goodput at 3 x / at 1 x, baseline", goodputRatio(0), 0.9, false },
            { "overload: goodput at 3 x / at 1 x, default", goodputRatio(2), 0.9, false } };
        return report;
    }

    template <typename Visitor, size_t... indices>
    void forEachScenario(Visitor&& visitor, std::index_sequence<indices...>)
    {
        (visitor(std::variant_alternative_t<indices, Scenario> {}), ...);
    }

    template <typename Visitor> void forEachScenario(Visitor&& visitor)
    {
        forEachScenario(visitor, std::make_index_sequence<std::variant_size_v<Scenario>>());
    }

} // namespace

bool ScenarioReport::hasFindings() const
{
    return std::any_of(results.begin(), results.end(), [](const auto& result) { return !result.findings.empty(); });
}

nlohmann::json ScenarioReport::toJson() const
{
    auto json = details;
    json["results"] = nlohmann::json::array();
    for (const auto& result : results)
        json["results"].push_back(result.toJson());
    json["checks"] = nlohmann::json::array();
    for (const auto& check : checks)
        json["checks"].push_back(check.toJson());
    return json;
}

std::optional<Scenario> scenarioFromName(std::string_view name)
{
    std::optional<Scenario> found;
    forEachScenario([&](const auto& scenario) {
        if (scenario.name == name)
            found = scenario;
    });
    return found;
}

std::vector<std::string> scenarioNames()
{
    std::vector<std::string> names;
    forEachScenario([&](const auto& scenario) { names.emplace_back(scenario.name); });
    return names;
}

ScenarioReport runScenario(const Scenario& scenario, const ScenarioOptions& options)
{
    return std::visit(Overloaded { [&](const CrestScenario&) { return runCrest(options); },
                          [&](const StragglersScenario&) { return runStragglers(options); },
                          [&](const LongWorkScenario&) { return runLongWork(options); },
                          [&](const OverloadScenario&) { return runOverload(options); },
                          [&](const NodeCostScenario&) { return runNodeCost(options); } },
        scenario);
}

} // namespace cyclamenstair::load
