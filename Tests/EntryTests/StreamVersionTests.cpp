#include "EntryNodeFixture.h"

using namespace cyclamenstair;

namespace {

/// The first target has another software version than the second. It breaks streams off after two events.
class StreamVersionTest : public EntryNodeTest {
protected:
    StreamVersionTest()
    {
        secondTarget.setSoftwareVersion("v2");
        registerTarget(secondTarget);
        firstTarget.setBehaviour(TargetBehaviour::TruncateResponse);
    }

    /// Sends streams until one has begun at the first target and was broken off. Returns its id.
    std::string beginAtFirstTarget()
    {
        for (int i = 0; i < 200; ++i) {
            auto id = "begun-" + std::to_string(++m_streams);
            const auto status = request("/stream/x", id).head.status;
            if (firstTarget.runCount(id) > 0) {
                EXPECT_EQ(status, 0U);
                return id;
            }
        }
        ADD_FAILURE() << "no stream began at the first target";
        return {};
    }

    /// Resumes a stream as its caller does.
    uint32_t resume(const std::string& origin, const std::string& id)
    {
        return request("/stream/x", id, { { "Last-Event-Id", "2" }, { "Resumes", origin } }).head.status;
    }

    /// Lets the origins of streams reach the other nodes and the store.
    static void waitForExchange() { std::this_thread::sleep_for(std::chrono::milliseconds(1500)); }

    RegisteredTargetStandIn sameVersionTarget { "i-3", "plain" };

private:
    int m_streams { 0 };
};

} // namespace

// Guards against a stream that the node resumes at a target of another software version, so that its parts do not fit
// together.
TEST_F(StreamVersionTest, NodeResumesOnlyAtTheVersionThatBegan)
{
    const auto node = startNode();
    EXPECT_EQ(secondTarget.runCount(beginAtFirstTarget()), 0);
    registerTarget(sameVersionTarget);
    EXPECT_TRUE(eventually([&] {
        static int number = 0;
        const auto id = "at-three-" + std::to_string(++number);
        (void)request("/stream/x", id);
        return sameVersionTarget.runCount(id) > 0;
    }));
    for (int i = 0; i < 20; ++i) {
        const auto id = "s-" + std::to_string(i);
        const auto answer = request("/stream/x", id);
        EXPECT_EQ(answer.head.status, 200U) << id;
        EXPECT_FALSE(firstTarget.runCount(id) > 0 && secondTarget.runCount(id) > 0) << id;
    }
}

// Guards against a stream that its caller resumes, at the same node or another, and that goes on at another version.
TEST_F(StreamVersionTest, CallerResumesAtTheVersionThatBegan)
{
    const auto peer = allocateLoopbackAddress();
    const auto first = startNode("node-1", "peer_listen = " + peer + "\nseeds = " + peer + "\n");
    const auto firstAddress = callerAddress;
    const auto second = startNode("node-2", "peer_listen = " + allocateLoopbackAddress() + "\nseeds = " + peer + "\n");
    const auto secondAddress = callerAddress;
    callerAddress = firstAddress;
    waitForExchange();
    const auto origin = beginAtFirstTarget();
    registerTarget(sameVersionTarget);
    store.remove("servers/i-1");
    waitForExchange();
    for (const auto& address : { firstAddress, secondAddress }) {
        callerAddress = address;
        for (int i = 0; i < 10; ++i) {
            const auto id = address + "-" + std::to_string(i);
            EXPECT_EQ(resume(origin, id), 200U) << id;
            EXPECT_EQ(sameVersionTarget.runCount(id), 1) << id;
        }
    }
}

// Guards against joined streams after all nodes were killed at once, when none remembers which version began them.
TEST_F(StreamVersionTest, CallerResumesAtTheVersionThatBeganAfterAllNodesRestarted)
{
    auto node = startNode();
    waitForExchange();
    const auto origin = beginAtFirstTarget();
    waitForExchange();
    node.reset();
    store.remove("servers/i-1");
    registerTarget(sameVersionTarget);
    node = startNode("node-2");
    for (int i = 0; i < 10; ++i) {
        const auto id = "r-" + std::to_string(i);
        EXPECT_EQ(resume(origin, id), 200U) << id;
        EXPECT_EQ(sameVersionTarget.runCount(id), 1) << id;
    }
}

// The same when the targets of the version that began the streams have left: such a stream cannot go on. Guards also
// against one of unknown origin that is joined.
TEST_F(StreamVersionTest, StreamOfAVersionThatHasLeftIsRefused)
{
    auto node = startNode();
    waitForExchange();
    const auto origin = beginAtFirstTarget();
    waitForExchange();
    node.reset();
    store.remove("servers/i-1");
    node = startNode("node-2");
    EXPECT_EQ(resume(origin, "r-1"), 503U);
    EXPECT_EQ(resume("unknown", "r-2"), 503U);
    EXPECT_EQ(resume({}, "r-3"), 503U);
    for (const auto* id : { "r-1", "r-2", "r-3" })
        EXPECT_EQ(secondTarget.runCount(id), 0) << id;
    EXPECT_EQ(request("/stream/x", "new").head.status, 200U);
}

// Guards against refusals where there is nothing to tell apart: a single version, also after a restart of all nodes.
TEST_F(StreamVersionTest, StreamsOfASingleVersionResumeAnywhere)
{
    secondTarget.setSoftwareVersion("v1");
    registerTarget(secondTarget);
    store.remove("servers/i-1");
    auto node = startNode();
    EXPECT_EQ(resume("unknown", "r-1"), 200U);
    node.reset();
    node = startNode("node-2");
    EXPECT_EQ(resume("unknown", "r-2"), 200U);
    EXPECT_EQ(resume({}, "r-3"), 200U);
}
