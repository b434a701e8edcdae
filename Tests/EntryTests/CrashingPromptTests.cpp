#include <Tests/EntryTests/EntryNodeFixture.h>

#include <algorithm>
#include <numeric>

using namespace cyclamenstair;

namespace {

const std::string commonPart = "c0";
const std::string crashingPart = "dead";
constexpr auto settleTime = std::chrono::seconds(3);
constexpr int maxCrashesBeforeSettling = 5;
constexpr int maxRequestsAfterSettling = 3;

/// Three connected nodes before six targets, of which each ends when it begins to answer a prompt with the crashing
/// part.
class CrashingPromptTest : public EntryNodeTest {
protected:
    void SetUp() override
    {
        EntryNodeTest::SetUp();
        for (int i = 0; i < 4; ++i)
            otherTargets.push_back(std::make_unique<RegisteredTargetStandIn>("i-1" + std::to_string(i), "plain"));
        targets = { &firstTarget, &secondTarget };
        for (const auto& target : otherTargets)
            targets.push_back(target.get());
        for (auto* target : targets) {
            target->setCrashingPart(crashingPart);
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

    /// Sends a stream request with these shared parts to the nodes in turn. The last part is `own`, or one that no
    /// other request has.
    HttpResponse sendPrompt(const std::vector<std::string>& sharedParts, std::string own = {})
    {
        const auto number = std::to_string(++requestCount);
        if (own.empty())
            own = "own" + number;
        callerAddress = callerAddresses[static_cast<size_t>(requestCount) % callerAddresses.size()];
        std::string prefix;
        for (const auto& part : sharedParts)
            prefix.append(part).append(":100,");
        return request("/stream/x", "p-" + number, { { "Cyclamenstair-Prompt-Prefix", prefix + own + ":50" } });
    }

    int crashCount() const
    {
        return std::accumulate(
            targets.begin(), targets.end(), 0, [](int sum, const auto* target) { return sum + target->crashCount(); });
    }

    int crashingRequestCount() const
    {
        return std::accumulate(targets.begin(), targets.end(), 0,
            [](int sum, const auto* target) { return sum + target->crashingRequestCount(); });
    }

    std::vector<std::unique_ptr<RegisteredTargetStandIn>> otherTargets;
    std::vector<RegisteredTargetStandIn*> targets;
    std::vector<std::unique_ptr<EntryNode>> nodes;
    std::vector<std::string> callerAddresses;
    int requestCount { 0 };
};

} // namespace

// Guards against requests with one prompt part that crash one target after the other.
TEST_F(CrashingPromptTest, RequestsThatCrashTargetsStopReachingThem)
{
    constexpr auto pauseBetweenRequests = std::chrono::milliseconds(50);
    const auto end = std::chrono::steady_clock::now() + waitTimeout;
    std::chrono::steady_clock::time_point settledAt = end;
    int sentWhenSettled = 0;
    int crashingSent = 0;
    int soundSent = 0;
    int soundServed = 0;
    for (int i = 0; crashingSent < 20 || std::chrono::steady_clock::now() < settledAt + settleTime; ++i) {
        if (i % 4 == 0) {
            (void)sendPrompt({ commonPart, crashingPart, "other" + std::to_string(i) });
            ++crashingSent;
        } else {
            const auto response = sendPrompt({ commonPart, "other" + std::to_string(i - i % 4) });
            ++soundSent;
            soundServed += response.head.status == 200 ? 1 : 0;
        }
        std::this_thread::sleep_for(pauseBetweenRequests);
        const auto now = std::chrono::steady_clock::now();
        if (now >= end)
            break;
        if (settledAt == end && (crashCount() >= maxCrashesBeforeSettling || crashingSent == 10))
            settledAt = now + settleTime;
        if (now < settledAt)
            sentWhenSettled = crashingRequestCount();
    }
    EXPECT_GE(crashCount(), 1);
    EXPECT_LE(crashingRequestCount() - sentWhenSettled, maxRequestsAfterSettling);
    EXPECT_EQ(soundServed, soundSent);
}

// Guards against one request that its caller repeats with new ids, at all nodes and after pauses, and that ends one
// target after the other; its other parts are in sound requests too.
TEST_F(CrashingPromptTest, RepeatedRequestThatCrashesTargetsStopsReachingThem)
{
    constexpr int maxCrashes = 6; // Three, and those of attempts that are under way when the third target ends.
    int soundSent = 0;
    int soundServed = 0;
    for (int i = 0; i < 24; ++i) {
        if (i % 3 == 0)
            (void)sendPrompt({ commonPart, "subject" }, crashingPart);
        const auto response = sendPrompt({ commonPart, "subject" });
        ++soundSent;
        soundServed += response.head.status == 200 ? 1 : 0;
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
    }
    EXPECT_GE(crashCount(), 3);
    EXPECT_LE(crashCount(), maxCrashes);
    EXPECT_EQ(soundServed, soundSent);
}
