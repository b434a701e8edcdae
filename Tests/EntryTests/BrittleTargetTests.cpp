#include <Tests/EntryTests/EntryNodeFixture.h>

using namespace cyclamenstair;

namespace {

constexpr auto runTime = milliseconds(300);
constexpr auto settleTime = std::chrono::seconds(3);
constexpr auto playTime = std::chrono::seconds(8);
constexpr int targetCount = 3;
constexpr int slotCount = targetCount * RegisteredTargetStandIn::slots;
/// Callers that each wait for their answer: more than the slots, so that the targets are always full.
constexpr int callersPerNode = 16;
/// The service's targets may fail this often while they are brittle: 2 and a tenth of their number.
constexpr int maxCrashes = 2 + targetCount / 10;

/// Three connected nodes before three brittle targets that fail after two refusals in a second.
class BrittleTargetTest : public EntryNodeTest {
protected:
    void SetUp() override
    {
        EntryNodeTest::SetUp();
        targets = { &firstTarget, &secondTarget, &thirdTarget };
        for (auto* target : targets) {
            target->setBrittle(1, runTime);
            registerTarget(*target);
        }
        const auto seed = allocateLoopbackAddress();
        for (int i = 0; i < 3; ++i) {
            const auto peerAddress = i == 0 ? seed : allocateLoopbackAddress();
            std::string peerSettings = "peer_listen = ";
            peerSettings.append(peerAddress).append("\nseeds = ").append(seed).append("\n");
            nodes.push_back(startNode("node-" + std::to_string(i), peerSettings));
            callerAddresses.push_back(callerAddress);
        }
    }

    /// Sends the requests of one caller one after the other until `end`. A refused caller returns after `retryDelay`.
    void call(const std::string& address, const std::string& caller, std::chrono::steady_clock::time_point end)
    {
        constexpr auto retryDelay = std::chrono::milliseconds(50);
        for (int i = 0; std::chrono::steady_clock::now() < end; ++i) {
            HeaderFields fields { { "Host", "h" }, { "Cyclamenstair-Request-Id", caller + "-" + std::to_string(i) } };
            if (send(address, { "POST", "/safe/x", std::move(fields), "body", true }).head.status == 200)
                ++answered;
            else
                std::this_thread::sleep_for(retryDelay);
        }
    }

    void play(std::chrono::steady_clock::duration duration)
    {
        const auto end = std::chrono::steady_clock::now() + duration;
        std::vector<std::thread> callers;
        for (const auto& address : callerAddresses) {
            for (int i = 0; i < callersPerNode; ++i)
                callers.emplace_back(
                    [this, address, end, i] { call(address, address + "-" + std::to_string(i), end); });
        }
        for (auto& caller : callers)
            caller.join();
    }

    int crashCount() const
    {
        int count = 0;
        for (const auto* target : targets)
            count += target->crashCount();
        return count;
    }

    RegisteredTargetStandIn thirdTarget { "i-3", "plain" };
    std::vector<RegisteredTargetStandIn*> targets;
    std::vector<std::unique_ptr<EntryNode>> nodes;
    std::vector<std::string> callerAddresses;
    std::atomic<int> answered { 0 };
};

} // namespace

// Guards against nodes that overfill brittle targets until they fail, and against callers that are refused while
// brittle targets have room.
TEST_F(BrittleTargetTest, BrittleTargetsDoNotFailAndAreUsed)
{
    play(settleTime);
    const auto crashesBefore = crashCount();
    answered = 0;
    play(playTime);
    EXPECT_LE(crashCount() - crashesBefore, maxCrashes);
    EXPECT_GE(answered, 0.5 * slotCount * (playTime / runTime));
    for (const auto* target : targets)
        EXPECT_EQ(target->maxRunning(), RegisteredTargetStandIn::slots);
    EXPECT_NE(get(metricsAddress, "/metrics").body.find("statement=\"brittle\""), std::string::npos);
}
