#include <Benchmarks/Scenario.h>

#include <Benchmarks/NodeCost.h>

#include <Cyclamenstair/Core/Overloaded.h>

#include <algorithm>
#include <functional>

namespace cyclamenstair::load {

namespace {

    constexpr double longShare = 0.1;
    constexpr double stragglerLoad = 0.4;
    constexpr double longWorkLoad = 0.65;
    constexpr double slowFactor = 10;
    constexpr double reportLagMs = 5000;

    using Policies = std::vector<PolicyKind>;

    const Policies& policies()
    {
        static const Policies s_policies { PolicyKind::Baseline, PolicyKind::Default };
        return s_policies;
    }

    Deployment deploymentOf(const ScenarioOptions& options)
    {
        auto deployment = Deployment::create(options.deployment);
        deployment.nodeSettings = options.nodeSettings;
        return deployment;
    }

    MixSettings mixOf(const ScenarioOptions& options, uint64_t run)
    {
        MixSettings mix;
        mix.seed = options.seed + run;
        return mix;
    }

    /// Calls per second that keep the engines busy at `load` times their capacity.
    double rateFor(const Deployment& deployment, const MixSettings& mix, double load)
    {
        return load * deployment.slotSecondsPerSecond() / meanSlotSeconds(deployment, mix.longShare, mix.bookingShare);
    }

    std::vector<RatePoint> constantRate(double rate, double seconds) { return { { 0, rate }, { seconds, rate } }; }

    double ratio(double value, double base) { return base > 0 ? value / base : 0; }

    ScenarioReport runCrest(const ScenarioOptions& options)
    {
        const auto deployment = deploymentOf(options);
        ScenarioReport report;
        for (const auto policy : policies()) {
            LoadFleet fleet(deployment, policy);
            RunSettings run;
            run.name = "crest";
            run.threads = options.threads;
            run.mix = mixOf(options, 0);
            run.mix.longShare = longShare;
            const double top = rateFor(deployment, run.mix, options.crestLoad);
            // The swing itself keeps its 2 s at every time scale.
            const double swingAt = 3 * options.timeScale;
            const double topUntil = swingAt + 2 + 6 * options.timeScale;
            run.mix.rate = { { 0, top / 10 }, { swingAt, top / 10 }, { swingAt + 2, top }, { topUntil, top },
                { topUntil + 2, top / 10 } };
            run.countFrom = swingAt;
            run.countTo = topUntil;
            report.results.push_back(fleet.run(run));
        }
        const auto& baseline = report.results[0];
        const auto& standard = report.results[1];
        MixSettings mixed;
        mixed.longShare = longShare;
        const double capacity = rateFor(deployment, mixed, 1);
        const double possible = std::min(static_cast<double>(standard.calls), capacity * standard.seconds);
        report.checks
            = { { "crest: in window, default / baseline",
                    ratio(static_cast<double>(standard.inWindow), static_cast<double>(baseline.inWindow)), 1.5, false },
                  { "crest: in window, default / what the engines can serve",
                      ratio(static_cast<double>(standard.inWindow), possible), 0.9, false } };
        return report;
    }

    ScenarioReport runStragglers(const ScenarioOptions& options)
    {
        const auto deployment = deploymentOf(options);
        ScenarioReport report;
        const double before = 2;
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
                run.mix = mixOf(options, hasStragglers ? 1 : 0);
                run.mix.rate = constantRate(rateFor(deployment, run.mix, stragglerLoad), before + slowSeconds + 1);
                run.countFrom = before;
                run.countTo = before + slowSeconds;
                if (hasStragglers)
                    run.faults = { { before, { 0, 1 }, { { "slow_factor", slowFactor } } },
                        { before + slowSeconds, { 0, 1 }, { { "slow_factor", 1 } } } };
                report.results.push_back(fleet.run(run));
            }
        }
        const auto p99Ratio = [&](size_t first) {
            auto& results = report.results;
            return ratio(results[first + 1].latency[WorkClass::Short].percentile(0.99),
                results[first].latency[WorkClass::Short].percentile(0.99));
        };
        const auto& slow = report.results[3];
        report.checks = { { "stragglers: p99 of short work, with / without, baseline", p99Ratio(0), 1.5, true },
            { "stragglers: p99 of short work, with / without, default", p99Ratio(2), 1.5, true },
            { "stragglers: extra attempts / requests, default",
                ratio(static_cast<double>(slow.extraAttempts), static_cast<double>(slow.calls)), 0.05, true } };
        return report;
    }

    ScenarioReport runLongWork(const ScenarioOptions& options)
    {
        const auto deployment = deploymentOf(options);
        ScenarioReport report;
        const double seconds = 10 * options.timeScale;
        for (const auto policy : policies()) {
            LoadFleet fleet(deployment, policy);
            for (const bool hasLongWork : { false, true }) {
                RunSettings run;
                run.name = hasLongWork ? "long-work: 10% long" : "long-work: short only";
                run.threads = options.threads;
                run.mix = mixOf(options, hasLongWork ? 1 : 0);
                // Both runs send the same rate of short work; the load with long work is the given one.
                auto mixed = run.mix;
                mixed.longShare = longShare;
                const double rate = rateFor(deployment, mixed, longWorkLoad);
                run.mix.longShare = hasLongWork ? longShare : 0;
                run.mix.rate = constantRate(hasLongWork ? rate : rate * (1 - longShare), seconds);
                report.results.push_back(fleet.run(run));
            }
        }
        const auto waitingRatio = [&](size_t first) {
            return ratio(report.results[first + 1].shortWaiting.percentile(0.99),
                report.results[first].shortWaiting.percentile(0.99));
        };
        report.checks
            = { { "long-work: p99 waiting of short work, with / without, baseline", waitingRatio(0), 1.5, true },
                  { "long-work: p99 waiting of short work, with / without, default", waitingRatio(2), 1.5, true } };
        return report;
    }

    ScenarioReport runOverload(const ScenarioOptions& options)
    {
        const auto deployment = deploymentOf(options);
        ScenarioReport report;
        const double seconds = 8 * options.timeScale;
        for (const auto policy : policies()) {
            LoadFleet fleet(deployment, policy);
            for (const int load : { 1, 3 }) {
                RunSettings run;
                run.name = "overload: " + std::to_string(load) + " x capacity";
                // With too few threads, callers would give up before their calls reach a node.
                run.threads = options.threads * static_cast<size_t>(load);
                run.mix = mixOf(options, static_cast<uint64_t>(load));
                run.mix.longShare = longShare;
                run.mix.rate = constantRate(rateFor(deployment, run.mix, load), seconds);
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
