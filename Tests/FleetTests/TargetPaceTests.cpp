#include <Cyclamenstair/Fleet/TargetRegistry.h>

#include <gtest/gtest.h>

#include <deque>
#include <memory>

using namespace cyclamenstair;

namespace {

constexpr TimePoint start { std::chrono::seconds(100) };
constexpr Duration step = milliseconds(10);
constexpr Duration exchangeInterval = milliseconds(200);
constexpr size_t nodeCount = 84;
constexpr uint32_t slots = 16;

TargetRecord target(const std::string& id)
{
    TargetRecord record;
    record.id = id;
    record.service = "drafting";
    record.address = "127.0.0.1:1";
    record.slots = slots;
    record.models = { { "draft", {} } };
    return record;
}

/// How a node learns of a target that starts during the replay.
enum class StartRule : uint8_t {
    AtOnce, ///< The former rule: it is used like all others.
    Paced,
};

/// Nodes of a large fleet that send requests to targets, with loads that are one exchange old. Targets answer after a
/// fixed time.
class PacedFleet {
public:
    explicit PacedFleet(size_t targetCount)
    {
        for (size_t i = 0; i < nodeCount; ++i) {
            TargetRegistrySettings settings;
            settings.nodeId = "node-" + std::to_string(i);
            m_nodes.push_back(std::make_unique<TargetRegistry>(settings));
            m_nodes.back()->setLargeFleet(true);
            m_nodes.back()->setNodeCount(nodeCount);
            for (size_t j = 0; j < targetCount; ++j)
                m_nodes.back()->update(target("i-" + std::to_string(j)), 1);
        }
    }

    void startTarget(const std::string& id, StartRule rule)
    {
        for (const auto& node : m_nodes)
            node->update(target(id), 2, rule == StartRule::Paced ? std::optional(m_now) : std::nullopt);
    }

    /// The target accepts requests and answers none until it is called with false.
    void setSilent(const std::string& id, bool isSilent) { m_silent = isSilent ? id : std::string(); }

    void play(Duration duration, double requestsPerSecond, Duration serviceTime)
    {
        for (const auto end = m_now + duration; m_now < end;) {
            m_now += step;
            if (m_now - m_exchangedAt >= exchangeInterval)
                exchange();
            finishRequests();
            std::poisson_distribution<int> arrivals(requestsPerSecond * toSeconds(step));
            for (int count = arrivals(m_random); count > 0; --count)
                send(serviceTime);
        }
    }

    /// Returns the most requests that were at the target at one time since the last call.
    uint32_t takePeak(const std::string& id) { return std::exchange(m_peaks[id], 0); }
    uint32_t inFlight(const std::string& id) { return m_inFlight[id]; }
    uint32_t sent(const std::string& id) { return m_sent[id]; }

private:
    struct Request {
        size_t node { 0 };
        AcquiredTarget target;
        TimePoint endsAt;
        TimePoint overdueAt;
        TimePoint abandonedAt;
    };

    void send(Duration serviceTime)
    {
        const auto node = randomIndex(m_random, nodeCount);
        const auto outcome = m_nodes[node]->acquire(m_query, m_now, m_random);
        const auto* acquired = std::get_if<AcquiredTarget>(&outcome);
        ASSERT_TRUE(acquired);
        ++m_sent[acquired->id];
        m_peaks[acquired->id] = std::max(m_peaks[acquired->id], ++m_inFlight[acquired->id]);
        m_requests.push_back(
            { node, *acquired, m_now + serviceTime, m_now + milliseconds(1200), m_now + milliseconds(2400) });
    }

    void finishRequests()
    {
        std::erase_if(m_requests, [&](Request& request) {
            const bool isSilent = request.target.id == m_silent;
            auto& node = *m_nodes[request.node];
            if (isSilent && m_now >= request.overdueAt)
                node.markOverdue(request.target);
            if (m_now < (isSilent ? request.abandonedAt : request.endsAt))
                return false;
            node.release(request.target, m_query,
                isSilent ? TargetAttemptResult::Inconclusive : TargetAttemptResult::Good, m_now);
            --m_inFlight[request.target.id];
            return true;
        });
    }

    /// Each node gets the sum of the loads that the others had at the previous exchange.
    void exchange()
    {
        m_exchangedAt = m_now;
        std::vector<TargetWorkloads> loads;
        for (const auto& node : m_nodes)
            loads.push_back(node->loads());
        if (!m_lastLoads.empty()) {
            TargetWorkloads total;
            for (const auto& share : m_lastLoads) {
                for (const auto& [id, load] : share) {
                    total[id].inFlight += load.inFlight;
                    total[id].overdue += load.overdue;
                    total[id].answers += load.answers;
                }
            }
            for (size_t i = 0; i < nodeCount; ++i) {
                auto remote = total;
                for (const auto& [id, load] : m_lastLoads[i]) {
                    remote[id].inFlight -= load.inFlight;
                    remote[id].overdue -= load.overdue;
                    remote[id].answers -= load.answers;
                }
                m_nodes[i]->setRemoteLoads(remote, m_now);
            }
        }
        m_lastLoads = std::move(loads);
    }

    std::vector<std::unique_ptr<TargetRegistry>> m_nodes;
    std::vector<TargetWorkloads> m_lastLoads;
    std::deque<Request> m_requests;
    std::map<std::string, uint32_t> m_inFlight;
    std::map<std::string, uint32_t> m_peaks;
    std::map<std::string, uint32_t> m_sent;
    std::string m_silent;
    TargetQuery m_query { "drafting", "draft", {}, {} };
    Random m_random { 20261206 };
    TimePoint m_now { start };
    TimePoint m_exchangedAt { start };
};

class OverloadedEngineTest : public testing::Test {
protected:
    OverloadedEngineTest()
    {
        registry.update(target("i-1"), 1);
        query.excludesOverloaded = true;
    }

    AcquireOutcome acquire() { return registry.acquire(query, start, random); }

    TargetRegistry registry { {} };
    TargetQuery query { "drafting", "draft", {}, {} };
    Random random { 1 };
};

} // namespace

// Guards against a target that stays below its share for longer than stated although it answers, or gets it at once.
TEST(TargetPace, WindowGrowsWithAnswersAndTime)
{
    const TargetPaceSettings settings;
    TargetPace pace;
    EXPECT_TRUE(pace.updateFullPace(slots, settings, start));
    pace.restart(start);
    EXPECT_EQ(pace.window(slots, settings, start), 4);
    pace.countAnswer();
    pace.setRemoteAnswers(3);
    EXPECT_EQ(pace.window(slots, settings, start), 8);
    EXPECT_FALSE(pace.updateFullPace(slots, settings, start));
    EXPECT_TRUE(pace.updateFullPace(slots, settings, start + settings.fullPaceTime));
    EXPECT_EQ(pace.ownAnswers(), 0U);
    pace.restart(start);
    pace.setRemoteAnswers(slots);
    EXPECT_TRUE(pace.updateFullPace(slots, settings, start));
}

// Guards against 84 nodes that all find a target idle and send to it together, and against a target that is left idle
// for longer than the stated time. The former rule is the baseline.
TEST(TargetPace, StartingTargetIsNeitherFloodedNorLeftIdle)
{
    constexpr double requestsPerSecond = 400;
    constexpr auto serviceTime = milliseconds(250);
    std::map<StartRule, uint32_t> firstPeaks;
    for (const auto rule : { StartRule::AtOnce, StartRule::Paced }) {
        PacedFleet fleet(8);
        fleet.play(std::chrono::seconds(2), requestsPerSecond, serviceTime);
        fleet.startTarget("new", rule);
        fleet.play(milliseconds(500), requestsPerSecond, serviceTime);
        firstPeaks[rule] = fleet.takePeak("new");
        EXPECT_GT(fleet.sent("new"), 0U);
        // With an equal share, about a ninth of the requests are at the target.
        fleet.play(TargetPaceSettings {}.fullPaceTime, requestsPerSecond, serviceTime);
        const auto sentBefore = fleet.sent("new");
        fleet.play(std::chrono::seconds(2), requestsPerSecond, serviceTime);
        EXPECT_GT(fleet.sent("new") - sentBefore, requestsPerSecond * 2 / 9 / 2);
    }
    EXPECT_LE(firstPeaks[StartRule::Paced], slots);
    EXPECT_LT(firstPeaks[StartRule::Paced], firstPeaks[StartRule::AtOnce]);
}

// Guards against each of 84 nodes losing requests at a silent target until it has found out for itself, and against a
// flood when the target answers again.
TEST(TargetPace, SilentTargetIsAvoidedByAllNodesAndComesBackSlowly)
{
    constexpr double requestsPerSecond = 400;
    constexpr auto serviceTime = milliseconds(250);
    PacedFleet fleet(8);
    fleet.play(std::chrono::seconds(2), requestsPerSecond, serviceTime);
    const auto usualPerSecond = fleet.sent("i-0") / 2;
    fleet.setSilent("i-0", true);
    // The first requests are overdue after 1.2 s, and all nodes know of it two exchanges later.
    fleet.play(milliseconds(1200) + 3 * exchangeInterval, requestsPerSecond, serviceTime);
    const auto sentBefore = fleet.sent("i-0");
    fleet.play(std::chrono::seconds(4), requestsPerSecond, serviceTime);
    EXPECT_LT(fleet.sent("i-0") - sentBefore, usualPerSecond * 4 / 4);
    fleet.setSilent("i-0", false);
    fleet.takePeak("i-0");
    fleet.play(milliseconds(400), requestsPerSecond, serviceTime);
    EXPECT_LE(fleet.takePeak("i-0"), slots);
    fleet.play(TargetPaceSettings {}.fullPaceTime + std::chrono::seconds(2), requestsPerSecond, serviceTime);
    const auto recoveredBefore = fleet.sent("i-0");
    fleet.play(std::chrono::seconds(4), requestsPerSecond, serviceTime);
    // At least half of an equal share.
    EXPECT_GT(fleet.sent("i-0") - recoveredBefore, requestsPerSecond / 8 * 4 / 2);
}

// Guards against requests that are queued at engines for longer than their callers wait. Replays a burst for a model
// with one engine.
TEST_F(OverloadedEngineTest, EngineOfALargeFleetGetsNoMoreThanTwiceItsSlots)
{
    registry.setLargeFleet(true);
    size_t sent = 0;
    while (std::holds_alternative<AcquiredTarget>(acquire()))
        ++sent;
    EXPECT_EQ(sent, 2 * slots);
    EXPECT_EQ(std::get<AcquireFailure>(acquire()), AcquireFailure::EnginesOverloaded);
    registry.setRemoteLoads({}, start);
    registry.release({ "i-1", "127.0.0.1:1", "drafting" }, query, TargetAttemptResult::Good, start);
    EXPECT_TRUE(std::holds_alternative<AcquiredTarget>(acquire()));
}

// Guards against a stream that cannot resume, or a repeat that is dropped, because the other engine is busy.
TEST_F(OverloadedEngineTest, RepeatsAreSentToOverloadedEngines)
{
    registry.setLargeFleet(true);
    while (std::holds_alternative<AcquiredTarget>(acquire())) { }
    query.excludesOverloaded = false;
    EXPECT_TRUE(std::holds_alternative<AcquiredTarget>(acquire()));
}

// Guards against a change for small fleets, which leave queueing to the engines.
TEST_F(OverloadedEngineTest, SmallFleetLeavesQueueingToTheEngine)
{
    for (uint32_t i = 0; i < 4 * slots; ++i)
        EXPECT_TRUE(std::holds_alternative<AcquiredTarget>(acquire()));
}
