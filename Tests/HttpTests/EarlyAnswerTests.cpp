#include <Cyclamenstair/Http/HttpExchange.h>
#include <Tests/HttpTests/HttpTestServers.h>

using namespace cyclamenstair;

namespace {

/// Larger than the buffers of a loopback connection, so that the request is still being written when it is answered.
const std::string upload(size_t { 32 } << 20U, 'u');

/// Time in which the client reads the answer, while its upload waits.
constexpr auto answerTime = milliseconds(50);

constexpr HttpExchangeLimits limits { .connectTimeout = milliseconds(2000), .idleTimeout = milliseconds(2000) };

/// Answers before it has read the request's body, and then ends the connection with `end`.
class EarlyAnswerServer : public RawServer {
public:
    EarlyAnswerServer(int connectionCount, std::string answer, std::function<void(tcp::socket&)> end)
        : RawServer(connectionCount, [answer = std::move(answer), end = std::move(end)](tcp::socket& socket) {
            std::string input;
            (void)readTarget(socket, input);
            boost::asio::write(socket, boost::asio::buffer(answer));
            std::this_thread::sleep_for(answerTime);
            end(socket);
        })
    {
    }
};

void reset(tcp::socket& socket)
{
    socket.set_option(boost::asio::socket_base::linger(true, 0));
    socket.close();
}

/// Ends the answer, and reads the request's body to its end.
void endAndReadOn(tcp::socket& socket)
{
    socket.shutdown(tcp::socket::shutdown_send);
    std::array<char, 65536> buffer {};
    boost::system::error_code ec;
    while (!ec)
        (void)socket.read_some(boost::asio::buffer(buffer), ec);
}

/// Uploads with both clients and returns the bodies of the answers.
std::vector<std::string> uploadWithAllClients(const std::string& address)
{
    BlockingClient client;
    const auto viaConnection
        = client.call(address, { "POST", "/", { { "Host", "a" } }, upload, true }, milliseconds(20000));
    const auto viaExchange = HttpExchange(address, limits).call(makeHttpRequest("POST", "/", upload, "text/plain"));
    return { bodyOf(viaConnection), bodyOf(viaExchange) };
}

} // namespace

// Guards against the part of an answer without length that counts as complete: the connection was reset while the
// request was being written, the write took the socket's error, and the read after it saw an orderly end.
TEST(EarlyAnswer, AnswerWithoutLengthIsIncompleteIfTheUploadWasReset)
{
    EarlyAnswerServer server(2, "HTTP/1.1 200 OK\r\n\r\npart", reset);
    for (const auto& body : uploadWithAllClients(server.address))
        EXPECT_TRUE(body.starts_with("failed: ")) << body;
}

// The same for a process that ends: its end of the answer arrives first, the reset only when more of the request does.
TEST(EarlyAnswer, AnswerWithoutLengthIsIncompleteIfTheServerEnded)
{
    EarlyAnswerServer server(2, "HTTP/1.1 200 OK\r\n\r\npart", [](tcp::socket& socket) {
        socket.shutdown(tcp::socket::shutdown_send);
        std::this_thread::sleep_for(answerTime);
        reset(socket);
    });
    for (const auto& body : uploadWithAllClients(server.address))
        EXPECT_TRUE(body.starts_with("failed: ")) << body;
}

// Guards against the rejection of an answer without length that ends in order while the server still reads the request.
TEST(EarlyAnswer, AnswerWithoutLengthIsCompleteIfTheUploadGoesOn)
{
    EarlyAnswerServer server(2, "HTTP/1.1 200 OK\r\n\r\nwhole", endAndReadOn);
    for (const auto& body : uploadWithAllClients(server.address))
        EXPECT_EQ(body, "whole");
}

// Guards against the rejection of a complete answer after which the server stops reading the request.
TEST(EarlyAnswer, AnswerWithLengthIsCompleteBeforeAReset)
{
    EarlyAnswerServer server(2, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", reset);
    for (const auto& body : uploadWithAllClients(server.address))
        EXPECT_EQ(body, "whole");
}

// Guards against an answer with a length or in chunks that counts as complete although it was cut off.
TEST(EarlyAnswer, CutAnswerWithLengthIsIncomplete)
{
    for (const std::string answer : { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\npart",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n" }) {
        EarlyAnswerServer server(2, answer, reset);
        for (const auto& body : uploadWithAllClients(server.address))
            EXPECT_TRUE(body.starts_with("failed: ")) << body;
    }
}
