#include <Benchmarks/PlacementDayRun.h>

#include <algorithm>
#include <cmath>

namespace cyclamenstair::benchmarks {

namespace {

    constexpr size_t targetCount = 12;
    constexpr size_t domainCount = 4;
    constexpr size_t modelCount = 26;
    constexpr size_t adapterCount = 60;
    constexpr uint64_t gibibyte = 1ULL << 30;
    constexpr uint64_t targetBytes = 80 * gibibyte;
    constexpr double targetRequestsPerSecond = 10;
    constexpr double meanUtilisation = 0.4;
    constexpr int64_t daySeconds = 86'400;
    constexpr int64_t warmUpSeconds = 3'600;
    constexpr int64_t decisionIntervalSeconds = 5;
    constexpr int64_t loadDurationSeconds = 2;
    constexpr LoadBudget loadBudget { 3, 25 };
    constexpr double burstFactor = 10;
    constexpr double meanBurstGapSeconds = 5'400;
    constexpr double pi = 3.14159265358979323846;

    TimePoint timeAt(int64_t second) { return TimePoint(milliseconds((second + 1) * 1000)); }

} // namespace

PlacementDayRun::PlacementDayRun(PlacementPolicy policy, uint64_t seed)
    : m_policy(std::move(policy))
    , m_random(seed)
{
    generatePlan();
    generateDemand();
    for (size_t target = 0; target < targetCount; ++target) {
        m_ledgers.push_back(std::make_unique<TargetLedger>("t" + std::to_string(10 + target)));
        m_ledgers.back()->takeOver("owner");
    }
}

void PlacementDayRun::generatePlan()
{
    for (size_t model = 0; model < modelCount; ++model) {
        const uint64_t bytes = (8 + randomIndex(m_random, 20)) * gibibyte;
        const uint32_t replicas = model < 6 ? 2 : 1;
        m_plan.models.push_back({ "m" + std::to_string(10 + model), bytes, replicas, Priority::Normal, Duration(0) });
    }
    for (size_t adapter = 0; adapter < adapterCount; ++adapter) {
        const auto& model = m_plan.models[randomIndex(m_random, modelCount)].name;
        m_plan.adapters.push_back(
            { "a" + std::to_string(10 + adapter), model, gibibyte / 10, 1, Priority::Normal, Duration(0) });
    }
    m_plan.sortRows();
}

void PlacementDayRun::generateDemand()
{
    // Base rates follow a harmonic series, so that a few models have most of the demand.
    for (size_t model = 0; model < modelCount; ++model) {
        m_baseRates.push_back(1.0 / static_cast<double>(1 + model));
        std::vector<DemandBurst> bursts;
        for (int64_t second = 0; second < daySeconds;) {
            second += static_cast<int64_t>(-meanBurstGapSeconds * std::log(1 - randomUnit(m_random)));
            const bool isShort = randomUnit(m_random) < 0.6;
            const double length = isShort ? 20 + 100 * randomUnit(m_random) : 1'200 + 3'600 * randomUnit(m_random);
            bursts.push_back({ second, second + static_cast<int64_t>(length), burstFactor });
            second = bursts.back().endSecond;
        }
        m_bursts.push_back(std::move(bursts));
    }
    const double targetRate = meanUtilisation * targetRequestsPerSecond * targetCount;
    double totalRate = 0;
    for (size_t model = 0; model < modelCount; ++model) {
        double burstSeconds = 0;
        for (const auto& burst : m_bursts[model])
            burstSeconds
                += static_cast<double>(std::min(daySeconds, burst.endSecond) - std::min(daySeconds, burst.startSecond));
        totalRate += m_baseRates[model] * (1 + (burstFactor - 1) * burstSeconds / daySeconds);
    }
    for (auto& rate : m_baseRates)
        rate *= targetRate / totalRate;
}

double PlacementDayRun::requestRate(size_t model, int64_t second) const
{
    const double dailyFactor = 1 + 0.4 * std::sin(2 * pi * static_cast<double>(second) / daySeconds);
    for (const auto& burst : m_bursts[model]) {
        if (second >= burst.startSecond && second < burst.endSecond) {
            const double rampShare = std::min(1.0, static_cast<double>(second - burst.startSecond + 1) / 2);
            return m_baseRates[model] * dailyFactor * (1 + (burst.factor - 1) * rampShare);
        }
    }
    return m_baseRates[model] * dailyFactor;
}

PlacementDayResult PlacementDayRun::run()
{
    for (int64_t second = 0; second < daySeconds; ++second) {
        finishLoads(second);
        serveRequests(second);
        if (second % decisionIntervalSeconds == 0)
            updatePlacement(second);
    }
    return m_result;
}

void PlacementDayRun::finishLoads(int64_t second)
{
    std::erase_if(m_pendingLoads, [&](const PendingLoad& load) {
        if (load.endSecond > second)
            return false;
        load.ledger->finishLoad(load.artifact, true);
        return true;
    });
}

void PlacementDayRun::serveRequests(int64_t second)
{
    struct Arrival {
        std::string model;
        double requests;
        std::vector<size_t> loadedTargets;
    };
    std::vector<Arrival> arrivals;
    for (size_t model = 0; model < modelCount; ++model) {
        const auto requests = std::poisson_distribution<int>(requestRate(model, second))(m_random);
        if (requests == 0)
            continue;
        const auto& name = m_plan.models[model].name;
        m_demandTracker.record(name, timeAt(second), requests);
        Arrival arrival { name, static_cast<double>(requests), {} };
        for (size_t target = 0; target < targetCount; ++target) {
            if (m_ledgers[target]->isReachable(name))
                arrival.loadedTargets.push_back(target);
        }
        arrivals.push_back(std::move(arrival));
    }
    // Serves models with the fewest copies first; each request goes to the least loaded target with a copy.
    std::stable_sort(arrivals.begin(), arrivals.end(),
        [](const auto& left, const auto& right) { return left.loadedTargets.size() < right.loadedTargets.size(); });
    std::vector<double> load(targetCount, 0);
    for (const auto& arrival : arrivals) {
        double attained = 0;
        for (; attained < arrival.requests && !arrival.loadedTargets.empty(); ++attained) {
            const auto leastLoadedTarget = *std::min_element(arrival.loadedTargets.begin(), arrival.loadedTargets.end(),
                [&](size_t left, size_t right) { return load[left] < load[right]; });
            if (load[leastLoadedTarget] + 1 > targetRequestsPerSecond)
                break;
            load[leastLoadedTarget] += 1;
        }
        if (second >= warmUpSeconds) {
            m_result.requests += arrival.requests;
            m_result.attained += attained;
        }
    }
}

void PlacementDayRun::updatePlacement(int64_t second)
{
    PlacementInput input { &m_plan, {}, m_demandTracker.demand(timeAt(second)), loadBudget, timeAt(second) };
    for (size_t target = 0; target < targetCount; ++target)
        input.targets.push_back({ m_ledgers[target]->target(), "d" + std::to_string(target % domainCount), targetBytes,
            false, m_ledgers[target].get(), true });
    const auto decision = decidePlacement(m_policy, input);
    for (const auto& order : decision.orders) {
        for (auto& ledger : m_ledgers) {
            if (ledger->target() != order.target)
                continue;
            if (order.kind == OrderKind::Unload) {
                if (ledger->beginUnload(order.artifact))
                    ledger->finishUnload(order.artifact);
                continue;
            }
            if (!ledger->beginLoad(order.artifact, order.memoryBytes, targetBytes, order.baseModel))
                continue;
            if (!order.baseModel.empty()) {
                ledger->finishLoad(order.artifact, true);
                m_result.adapterLoads += second >= warmUpSeconds ? 1 : 0;
                continue;
            }
            m_result.modelMoves += second >= warmUpSeconds ? 1 : 0;
            m_pendingLoads.push_back({ ledger.get(), order.artifact, second + loadDurationSeconds });
        }
    }
}

} // namespace cyclamenstair::benchmarks
