#include "EntryNodeFixture.h"

#include <Cyclamenstair/Codec/NodeEntryCodec.h>
#include <Tests/Support/ProcessFleet.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace cyclamenstair;

namespace {

/// A fleet whose targets have one version. A target of another one, which breaks streams off, registers later.
class StaleVersionTest : public EntryNodeTest {
protected:
    StaleVersionTest()
    {
        newTarget.setSoftwareVersion("v2");
        newTarget.setBehaviour(TargetBehaviour::TruncateResponse);
    }

    static std::string peerSettings(const std::string& listen, const std::string& seed)
    {
        return "peer_listen = " + listen + "\nseeds = " + seed + "\n";
    }

    /// Sends streams to the node at callerAddress until one has begun at the new target. Returns its id.
    std::string beginAtNewTarget()
    {
        std::string id;
        EXPECT_TRUE(eventually([&] {
            id = "begun-" + std::to_string(++m_streams);
            (void)request("/stream/x", id);
            return newTarget.runCount(id) > 0;
        }));
        return id;
    }

    uint32_t resume(const std::string& origin, const std::string& id)
    {
        return request("/stream/x", id, { { "Last-Event-Id", "2" }, { "Resumes", origin } }).head.status;
    }

    /// Starts a node whose only peer has the address, cuts it off from the store, and expects that it does not resume a
    /// stream of a version that joins meanwhile.
    void expectNoGuessWithPeer(const std::string& peerAddress);

    static void sleep(int64_t ms) { std::this_thread::sleep_for(milliseconds(ms)); }

    RegisteredTargetStandIn newTarget { "i-3", "plain" };

private:
    int m_streams { 0 };
};

} // namespace

// Guards against a stream that a node cut off from the store and the other nodes resumes at the only version it knows,
// after a stream of another version has begun elsewhere.
TEST_F(StaleVersionTest, NodeThatIsCutOffDoesNotGuessTheVersion)
{
    // A peer that accepts connections and sends nothing, as one whose packets are lost.
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor silentPeer(context, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    expectNoGuessWithPeer("127.0.0.1:" + std::to_string(silentPeer.local_endpoint().port()));
}

// The same if the cut refuses connections, which looks like the end of the other node.
TEST_F(StaleVersionTest, NodeWhosePeersRefuseConnectionsDoesNotGuessTheVersion)
{
    expectNoGuessWithPeer(allocateLoopbackAddress());
}

void StaleVersionTest::expectNoGuessWithPeer(const std::string& peerAddress)
{
    RegistryStoreStandIn storeOfCutNode;
    storeOfCutNode.put("op/config", catalogText(1));
    storeOfCutNode.put("servers/i-1", firstTarget.entry());
    storeOfCutNode.put(
        "control/nodes/node-2", encodeNodeEntry({ .address = peerAddress, .failureDomain = {}, .cpuShare = 1 }));
    storeAddress = storeOfCutNode.address();
    const auto cutNode = startNode("node-1", peerSettings(allocateLoopbackAddress(), peerAddress));
    const auto cutAddress = callerAddress;
    storeAddress = store.address();
    const auto node = startNode("node-2");
    sleep(1500);
    storeOfCutNode.setDown(true);
    sleep(1500);
    registerTarget(newTarget);
    const auto origin = beginAtNewTarget();
    callerAddress = cutAddress;
    EXPECT_EQ(resume(origin, "resumed"), 503U);
    EXPECT_EQ(firstTarget.runCount("resumed"), 0);
    EXPECT_EQ(request("/stream/x", "new").head.status, 200U);
}

// The same for a node that was frozen: requests that reached it meanwhile are handled before what it missed.
TEST_F(StaleVersionTest, NodeThatWasFrozenDoesNotGuessTheVersion)
{
    const auto folder = std::filesystem::temp_directory_path() / ("cyclamenstair-" + std::to_string(::getpid()));
    std::filesystem::create_directories(folder);
    const auto peer = allocateLoopbackAddress();
    const auto node = startNode("node-1", peerSettings(peer, peer));
    const auto nodeAddress = callerAddress;
    const auto frozenAddress = allocateLoopbackAddress();
    probeAddress = allocateLoopbackAddress();
    std::ofstream(folder / "settings.ini")
        << "[node]\nmode = Registered\nid = node-2\n[entry]\nlisten = " << frozenAddress
        << "\nready_listen = " << probeAddress << "\n"
        << peerSettings(allocateLoopbackAddress(), peer) << "[control]\nstore = " << store.address() << "\n";
    cyclamenstair::testing::ChildProcess frozen(
        "Programs/cyclamenstaird", { "--config", folder / "settings.ini" }, folder / "log");
    EXPECT_TRUE(eventually([&] { return probe() == 200; }));
    sleep(2500);
    // Requests on kept connections are read soonest after the wake.
    callerAddress = frozenAddress;
    const auto resumeAll = [&](const std::string& origin, const std::string& prefix) {
        std::vector<std::future<uint32_t>> statuses;
        for (int i = 0; i < 20; ++i)
            statuses.push_back(std::async(
                std::launch::async, [this, origin, id = prefix + std::to_string(i)] { return resume(origin, id); }));
        return statuses;
    };
    for (auto& status : resumeAll("unknown", "before-"))
        EXPECT_EQ(status.get(), 200U);
    frozen.sendSignal(SIGSTOP);
    registerTarget(newTarget);
    callerAddress = nodeAddress;
    const auto origin = beginAtNewTarget();
    callerAddress = frozenAddress;
    auto statuses = resumeAll(origin, "r-");
    sleep(500);
    frozen.sendSignal(SIGCONT);
    for (auto& status : statuses)
        (void)status.get();
    for (int i = 0; i < 20; ++i) {
        const auto id = "r-" + std::to_string(i);
        EXPECT_EQ(runCount(id), 0) << id;
    }
    std::filesystem::remove_all(folder);
}

// Guards against refusals of resumed streams while only the store is away, or while a node has ended.
TEST_F(StaleVersionTest, NodesInStepResumeStreamsWithoutTheStore)
{
    const auto peer = allocateLoopbackAddress();
    auto first = startNode("node-1", peerSettings(peer, peer));
    auto second = startNode("node-2", peerSettings(allocateLoopbackAddress(), peer));
    auto third = startNode("node-3", peerSettings(allocateLoopbackAddress(), peer));
    sleep(2500);
    const auto watches = store.watchCallCount();
    sleep(4000);
    EXPECT_LE(store.watchCallCount() - watches, 15U); // Five for each node.
    store.setDown(true);
    sleep(4000);
    for (int i = 0; i < 10; ++i) {
        EXPECT_EQ(resume("unknown", "s-" + std::to_string(i)), 200U);
        sleep(200);
    }
    first.reset();
    for (int i = 0; i < 10; ++i) {
        EXPECT_EQ(resume("unknown", "t-" + std::to_string(i)), 200U);
        sleep(300);
    }
}
