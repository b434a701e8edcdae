#include <Cyclamenstair/Fleet/TargetRegistry.h>

#include <gtest/gtest.h>

#include <deque>
#include <memory>

using namespace cyclamenstair;

namespace {

constexpr TimePoint start { std::chrono::seconds(100) };
/// Steps of the replay, small against the time between tries and that of a request.
constexpr Duration step = milliseconds(5);
constexpr Duration settleTime = std::chrono::seconds(3);
constexpr Duration pollInterval = milliseconds(10);

TargetRecord target(const std::string& id, uint32_t slots)
{
    TargetRecord record;
    record.id = id;
    record.service = "drafting";
    record.address = "127.0.0.1:1";
    record.slots = slots;
    record.models = { { "draft", {} } };
    return record;
}

struct FleetCase {
    std::string name;
    size_t nodeCount { 7 };
    size_t targetCount { 12 };
    uint32_t slots { 64 };
    Duration serviceTime { milliseconds(2000) }; ///< Mean.
    Duration maxWait { milliseconds(1000) };
    Duration exchangeInterval { milliseconds(100) }; ///< Known loads are one to two intervals old.
    double load { 1.5 }; ///< Requests as a multiple of the capacity.
};

/// Nodes with loads of each other that are one exchange old, before brittle targets that queue nothing: each request
/// beyond their slots is refused.
class BrittleFleet {
public:
    BrittleFleet(const FleetCase& fleetCase, uint32_t seed)
        : m_case(fleetCase)
        , m_random(seed)
    {
        for (size_t i = 0; i < m_case.nodeCount; ++i) {
            TargetRegistrySettings settings;
            settings.nodeId = "node-" + std::to_string(i);
            m_nodes.push_back(std::make_unique<TargetRegistry>(settings));
            m_nodes.back()->setLargeFleet(m_case.nodeCount > 16);
            m_nodes.back()->setNodeCount(m_case.nodeCount, i);
            for (size_t j = 0; j < m_case.targetCount; ++j)
                m_nodes.back()->update(target("i-" + std::to_string(j), m_case.slots), 1);
        }
    }

    double capacityPerSecond() const
    {
        return static_cast<double>(m_case.targetCount) * m_case.slots / toSeconds(m_case.serviceTime);
    }

    void play(Duration duration)
    {
        std::poisson_distribution<int> arrivals(m_case.load * capacityPerSecond() * toSeconds(step));
        for (const auto end = m_now + duration; m_now < end;) {
            m_now += step;
            if (m_now - m_exchangedAt >= m_case.exchangeInterval)
                exchange();
            finishRequests();
            for (int count = arrivals(m_random); count > 0; --count)
                m_waiting.push_back({ randomIndex(m_random, m_case.nodeCount), m_now + m_case.maxWait, m_now });
            sendWaiting();
        }
    }

    /// Begins a new count.
    void resetCounts()
    {
        m_refusals.clear();
        m_served = 0;
    }

    /// Returns the most refusals of one target in any second.
    size_t maxRefusalsInASecond() const
    {
        size_t most = 0;
        for (const auto& [id, times] : m_refusals) {
            for (size_t first = 0, last = 0; last < times.size(); ++last) {
                while (times[last] - times[first] >= std::chrono::seconds(1))
                    ++first;
                most = std::max(most, last - first + 1);
            }
        }
        return most;
    }

    size_t served() const { return m_served; }

private:
    struct WaitingRequest {
        size_t node { 0 };
        TimePoint waitsUntil;
        TimePoint triesAt;
    };
    struct Request {
        size_t node { 0 };
        AcquiredTarget target;
        TimePoint endsAt;
    };

    void sendWaiting()
    {
        std::erase_if(m_waiting, [&](WaitingRequest& waiting) {
            if (m_now < waiting.triesAt)
                return false;
            auto& node = *m_nodes[waiting.node];
            const auto outcome = node.acquire(m_query, m_now, m_random);
            if (const auto* acquired = std::get_if<AcquiredTarget>(&outcome)) {
                send(waiting.node, *acquired);
                return true;
            }
            waiting.triesAt += pollInterval;
            return waiting.triesAt > waiting.waitsUntil;
        });
    }

    void send(size_t node, const AcquiredTarget& acquired)
    {
        (void)m_nodes[node]->recordBrittleness(acquired, 1, m_now);
        if (m_running[acquired.id] >= m_case.slots) {
            m_refusals[acquired.id].push_back(m_now);
            m_nodes[node]->release(acquired, m_query, TargetAttemptResult::Full, m_now);
            return;
        }
        ++m_running[acquired.id];
        std::exponential_distribution<double> duration(1 / toSeconds(m_case.serviceTime));
        m_requests.push_back({ node, acquired, m_now + Duration(static_cast<int64_t>(duration(m_random) * 1e6)) });
    }

    void finishRequests()
    {
        std::erase_if(m_requests, [&](const Request& request) {
            if (m_now < request.endsAt)
                return false;
            m_nodes[request.node]->release(request.target, m_query, TargetAttemptResult::Good, m_now);
            --m_running[request.target.id];
            ++m_served;
            return true;
        });
    }

    /// Each node gets the sum of the loads that the others had at the previous exchange.
    void exchange()
    {
        m_exchangedAt = m_now;
        std::vector<TargetWorkloads> loads;
        for (const auto& node : m_nodes)
            loads.push_back(node->sharedLoads(m_now));
        TargetWorkloads total;
        for (const auto& share : m_lastLoads) {
            for (const auto& [id, load] : share) {
                total[id].inFlight += load.inFlight;
                total[id].beyondShare += load.beyondShare;
                total[id].brittleLimit = std::max(total[id].brittleLimit, load.brittleLimit);
            }
        }
        for (size_t i = 0; i < m_lastLoads.size(); ++i) {
            auto remote = total;
            for (const auto& [id, load] : m_lastLoads[i]) {
                remote[id].inFlight -= load.inFlight;
                remote[id].beyondShare -= load.beyondShare;
            }
            m_nodes[i]->setRemoteLoads(remote, m_now);
        }
        m_lastLoads = std::move(loads);
    }

    FleetCase m_case;
    std::vector<std::unique_ptr<TargetRegistry>> m_nodes;
    std::vector<TargetWorkloads> m_lastLoads;
    std::vector<WaitingRequest> m_waiting;
    std::vector<Request> m_requests;
    std::map<std::string, uint32_t> m_running;
    std::map<std::string, std::vector<TimePoint>> m_refusals;
    size_t m_served { 0 };
    TargetQuery m_query { "drafting", "draft", {}, {} };
    Random m_random;
    TimePoint m_now { start };
    TimePoint m_exchangedAt { start };
};

class BrittleFleetTest : public testing::TestWithParam<FleetCase> { };

} // namespace

// Guards against targets that fail because nodes with old loads of each other overfill them, and against callers that
// are refused while targets have room.
TEST_P(BrittleFleetTest, TargetsRefuseAtMostOneRequestInASecondAndAreUsed)
{
    constexpr auto duration = std::chrono::seconds(8);
    for (const uint32_t seed : { 1U, 20261207U }) {
        BrittleFleet fleet(GetParam(), seed);
        fleet.play(settleTime);
        fleet.resetCounts();
        fleet.play(duration);
        EXPECT_LE(fleet.maxRefusalsInASecond(), 1U) << "seed " << seed;
        EXPECT_GE(static_cast<double>(fleet.served()), 0.9 * fleet.capacityPerSecond() * toSeconds(duration))
            << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(Fleets, BrittleFleetTest,
    testing::Values(FleetCase { "Engines" },
        FleetCase { "EnginesAt3", 7, 12, 64, milliseconds(2000), milliseconds(1000), milliseconds(100), 3 },
        FleetCase { "Plain", 7, 3, 6, milliseconds(100), milliseconds(200) },
        FleetCase { "PlainAt3", 7, 3, 6, milliseconds(100), milliseconds(200), milliseconds(100), 3 },
        FleetCase { "Large", 100, 40, 16, milliseconds(2000), milliseconds(1000), milliseconds(200) },
        FleetCase { "LargeAt3", 100, 40, 16, milliseconds(2000), milliseconds(1000), milliseconds(200), 3 }),
    [](const auto& info) { return info.param.name; });
