#include <Tests/EntryTests/EntryNodeFixture.h>

#include <boost/asio/write.hpp>

using namespace cyclamenstair;
using boost::asio::ip::tcp;

// Guards against a node that keeps all bytes of an answer without end for a caller that reads slowly.
TEST_F(EntryNodeTest, SlowCallerSlowsItsTarget)
{
    constexpr size_t maxBytesInTransit = size_t { 24 } << 20U; // The buffers of both sockets, and the node's own.
    // Within the route's time-out of 3 s, a slow build cannot forward all bytes.
    auto catalog = catalogText(1);
    const std::string timeout = "\"timeout_ms\":3000";
    catalog.replace(catalog.find(timeout), timeout.size(), "\"timeout_ms\":30000");
    store.put("op/config", catalog);
    const auto node = startNode();
    for (auto* target : { &firstTarget, &secondTarget })
        target->setBehaviour(TargetBehaviour::EndlessBody);
    boost::asio::io_context context;
    tcp::socket socket(context);
    socket.connect(parseEndpoint(callerAddress).value());
    boost::asio::write(socket,
        boost::asio::buffer(std::string("GET /safe/x HTTP/1.1\r\nHost: h\r\nCyclamenstair-Request-Id: r\r\n\r\n")));
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    const auto bytes = firstTarget.endlessBodyBytes() + secondTarget.endlessBodyBytes();
    EXPECT_GT(bytes, 0U);
    EXPECT_LT(bytes, maxBytesInTransit);
    // The caller gets more once it reads.
    std::string received(maxBytesInTransit, '\0');
    size_t receivedBytes = 0;
    boost::system::error_code ec;
    while (!ec && receivedBytes < received.size())
        receivedBytes += socket.read_some(boost::asio::buffer(received), ec);
    EXPECT_GE(receivedBytes, received.size());
}
