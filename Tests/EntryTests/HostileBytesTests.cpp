#include "EntryNodeFixture.h"

#include <Cyclamenstair/Codec/EntryMessages.h>
#include <Cyclamenstair/Http/SocketOptions.h>
#include <Tests/Support/ProcessFleet.h>

#include <boost/asio/write.hpp>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

using namespace cyclamenstair;
using boost::asio::ip::tcp;

namespace {

constexpr size_t senderCount = 4;
/// Between two connections of a sender. Without it, they take most of the machine's ports.
constexpr Duration pause = milliseconds(2);

/// Draws bytes that a node may receive: whole, changed, cut or random ones.
class HostileBytes {
public:
    explicit HostileBytes(uint64_t seed)
        : m_random(seed)
    {
    }

    size_t draw(size_t bound) { return std::uniform_int_distribution<size_t>(0, bound - 1)(m_random); }

    std::string requests()
    {
        static const std::vector<std::string> s_heads { "GET /safe/1 HTTP/1.1\r\nHost: h\r\n\r\n",
            "POST /stream/1 HTTP/1.1\r\nHost: h\r\nCyclamenstair-Request-Id: r\r\nContent-Length: 4\r\n\r\nbody",
            "POST /once/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
            "GET /cyclamenstair/readiness HTTP/1.1\r\nHost: h\r\n\r\n" };
        std::string bytes;
        for (size_t count = 1 + draw(4); count > 0; --count)
            bytes += s_heads[draw(s_heads.size())];
        return damaged(std::move(bytes));
    }

    std::string frames()
    {
        const std::vector<EntryMessage> messages { LoadShare { "node-2", { { "i-1", { 3, 5, 1, 2, 0, 4 } } } },
            DemandShare { "node-2", {}, { { "i-1", { { "m1", 2 } } } } }, LoadSummary { "node-2", {}, 7, { "node-3" } },
            StoreSyncRequest { "node-2" },
            StoreUpdate { "node-2", 3, "servers/", true, { { { { "servers/x", "{}", 9 }, false } }, 9 } },
            SnapshotRequest { "node-2" }, Snapshot { catalogText(2), { { "i-3", "{}", 4 } }, true },
            ResidencyNotice { "i-1", "plain", {} }, UsageShare { "node-2", {}, 2 },
            StreamOriginShare { "node-2", {} } };
        std::string bytes;
        for (size_t count = 1 + draw(4); count > 0; --count) {
            auto content = encodeEntryMessage(messages[draw(messages.size())]);
            if (draw(3) > 0)
                content = damaged(std::move(content));
            const auto length = static_cast<uint32_t>(draw(20) == 0 ? draw(1U << 23U) : content.size());
            for (const uint32_t shift : { 24U, 16U, 8U, 0U })
                bytes += static_cast<char>(length >> shift);
            bytes += content;
        }
        return bytes;
    }

private:
    std::string damaged(std::string bytes)
    {
        if (draw(4) == 0) {
            for (auto& byte : bytes)
                byte = static_cast<char>(draw(256));
        }
        for (size_t changes = draw(6); changes > 0 && !bytes.empty(); --changes)
            bytes[draw(bytes.size())] = static_cast<char>(draw(256));
        if (draw(4) == 0)
            bytes.resize(draw(bytes.size() + 1));
        return bytes;
    }

    std::mt19937_64 m_random;
};

/// Opens connections to the addresses and sends bytes until told to stop; resets or leaves them at any time.
void sendBytes(uint64_t seed, const std::vector<std::string>& addresses, const std::atomic<bool>& isStopping)
{
    HostileBytes source(seed);
    boost::asio::io_context context;
    std::vector<tcp::socket> sockets;
    while (!isStopping) {
        boost::system::error_code ec;
        tcp::socket socket(context);
        const size_t address = source.draw(addresses.size());
        const auto endpoint = parseEndpoint(addresses[address]).value();
        // Tests of other programs bind the ports of closed connections.
        openClientSocket(socket, endpoint.protocol(), ec);
        socket.connect(endpoint, ec);
        if (!ec) {
            socket.non_blocking(true, ec);
            for (size_t writes = source.draw(3); writes > 0; --writes)
                boost::asio::write(socket, boost::asio::buffer(address == 0 ? source.frames() : source.requests()), ec);
            if (source.draw(2) == 0)
                socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
            sockets.push_back(std::move(socket));
        }
        if (sockets.size() > source.draw(32))
            sockets.erase(sockets.begin() + static_cast<std::ptrdiff_t>(source.draw(sockets.size())));
        std::this_thread::sleep_for(pause);
    }
}

} // namespace

// Guards against a process that ends, or stops serving, because of the bytes of a peer or a caller, also while it
// reloads its settings and while it shuts down. CYCLAMENSTAIR_HOSTILE_SECONDS makes the test longer, and
// CYCLAMENSTAIR_HOSTILE_SEED draws other bytes.
TEST_F(EntryNodeTest, AnyBytesOfPeersAndCallersDoNotEndTheProcess)
{
    const auto environment = [](const char* name, int fallback) {
        const char* value = std::getenv(name);
        return value ? std::atoi(value) : fallback;
    };
    const auto folder = std::filesystem::temp_directory_path() / ("cyclamenstair-bytes-" + std::to_string(::getpid()));
    std::filesystem::create_directories(folder);
    const auto peerAddress = allocateLoopbackAddress();
    const auto relayAddress = allocateLoopbackAddress();
    std::ofstream(folder / "settings.ini")
        << "[node]\nmode = Registered\nid = node-1\n[entry]\nlisten = " << (callerAddress = allocateLoopbackAddress())
        << "\nready_listen = " << (probeAddress = allocateLoopbackAddress())
        << "\nmetrics_listen = " << (metricsAddress = allocateLoopbackAddress()) << "\nrelay_listen = " << relayAddress
        << "\npeer_listen = " << peerAddress << "\ngrace_s = 4\n[control]\nstore = " << storeAddress << "\n";
    cyclamenstair::testing::ChildProcess process(
        "Programs/cyclamenstaird", { "--config", folder / "settings.ini" }, folder / "log");
    ASSERT_TRUE(eventually([&] { return probe() == 200; }));
    std::atomic<bool> isStopping { false };
    std::vector<std::thread> senders;
    const auto seed = static_cast<uint64_t>(environment("CYCLAMENSTAIR_HOSTILE_SEED", 1));
    for (size_t sender = 0; sender < senderCount; ++sender)
        senders.emplace_back([&, sender] {
            sendBytes(seed * senderCount + sender,
                { peerAddress, callerAddress, probeAddress, metricsAddress, relayAddress }, isStopping);
        });
    const auto end = monotonicNow() + std::chrono::seconds(environment("CYCLAMENSTAIR_HOSTILE_SECONDS", 2));
    while (monotonicNow() < end && !process.hasExited()) {
        process.sendSignal(SIGHUP);
        std::this_thread::sleep_for(milliseconds(50));
    }
    EXPECT_FALSE(process.hasExited());
    // A catalog or loads of such a peer can be valid, so any answer counts.
    EXPECT_NE(probe(), 0U);
    EXPECT_NE(request("/safe/1", "last").head.status, 0U);
    process.sendSignal(SIGTERM);
    EXPECT_EQ(process.wait(20000), 0);
    isStopping = true;
    for (auto& sender : senders)
        sender.join();
    std::ostringstream log;
    log << std::ifstream(folder / "log").rdbuf();
    for (const char* report : { "AddressSanitizer", "runtime error", "ThreadSanitizer", "handler_failed" })
        EXPECT_EQ(log.str().find(report), std::string::npos) << log.str();
    std::filesystem::remove_all(folder);
}
