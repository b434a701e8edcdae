#pragma once

#include <utility>

#include <Cyclamenstair/Http/HttpMessage.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>
#include <functional>
#include <memory>

namespace cyclamenstair {

/// Bounds on a caller's connection.
struct ServerConnectionLimits {
    uint32_t maxHeadBytes { 16384 };
    uint64_t maxBodyBytes { 4194304 };
    Duration headTimeout { milliseconds(3000) }; ///< From the first byte of a request to its last.
    Duration idleTimeout { milliseconds(15000) }; ///< Without a request in progress.
    Duration silence { milliseconds(10000) }; ///< Unacknowledged bytes or probes for this long end the connection.
};

/// One caller's HTTP/1.1 connection: reads requests one after the other and writes their answers. Belongs to one event
/// loop. Handlers of asynchronous operations outlive their owner, hence the shared ownership.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
    /// Called for each whole request; the answer is given through the connection.
    using RequestHandler = std::function<void(const std::shared_ptr<ServerConnection>&, HttpRequest)>;

    ServerConnection(boost::asio::ip::tcp::socket socket, const ServerConnectionLimits& limits, RequestHandler handler);

    /// Begins to read.
    void start();

    /// Sets the function that is called once if the caller leaves while its request is in progress.
    void setLeaveHandler(std::function<void()> handler) { m_leaveHandler = std::move(handler); }

    /// Sends the head of the answer; without a length the body follows in chunks.
    void sendHead(const HttpAnswerHead& head, std::optional<uint64_t> bodyBytes);

    /// Sends a part of the body.
    void sendData(std::string_view data);

    /// Ends the answer. The next request is read, or the connection is closed if it is the last.
    void finish();

    /// Sends a whole answer.
    void answer(const HttpAnswerHead& head, std::string_view body);

    /// Closes at once, so that an answer in progress is visibly incomplete.
    void abort();

    /// Makes the answer in progress, or the next one, the last on this connection. Closes an idle connection.
    void closeAfterAnswer();

    bool isOpen() const { return !m_isClosed; }

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    enum class Phase : uint8_t {
        Reading, ///< A request is awaited or partly read.
        Answering, ///< A request is in progress.
        Closing, ///< The last answer is written; the caller's remaining bytes are discarded.
    };

    void read();
    void onRead(const boost::system::error_code& ec, size_t bytes);
    void parse();
    void onRequest();
    void refuse(uint32_t status);
    void nextRequest();
    void enqueue(std::string_view bytes);
    void write();
    void onWritten(const boost::system::error_code& ec);
    void beginClosing();
    void armTimer(Duration limit);
    void leave();
    bool isLastAnswer() const { return m_isClosingAfterAnswer || !m_keepsAlive; }

    /// Bytes of later requests that are read while one is in progress.
    static constexpr size_t maxReadAhead = 65536;
    /// Time for which a closed connection still discards the caller's bytes, so that it reads the answer before a
    /// reset.
    static constexpr Duration lingerTime = milliseconds(1000);

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    ServerConnectionLimits m_limits;
    RequestHandler m_requestHandler;
    std::function<void()> m_leaveHandler;
    std::unique_ptr<Parser> m_parser;
    std::string m_input;
    std::string m_output; ///< Bytes to be written after those being written.
    std::string m_writing;
    std::array<char, 4096> m_buffer {};
    Phase m_phase { Phase::Reading };
    bool m_isReading { false };
    bool m_isClosed { false };
    bool m_isChunked { false };
    bool m_isHeadRequest { false };
    bool m_keepsAlive { true };
    bool m_isClosingAfterAnswer { false };
    bool m_isContinueSent { false };
    bool m_hasServed { false };
};

} // namespace cyclamenstair
