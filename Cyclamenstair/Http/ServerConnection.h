#pragma once

#include <utility>

#include <Cyclamenstair/Core/BufferBudget.h>
#include <Cyclamenstair/Http/BeastParser.h>
#include <Cyclamenstair/Http/HttpMessage.h>
#include <Cyclamenstair/Http/TextBody.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <memory>

namespace cyclamenstair {

/// Limits of a caller's connection.
struct ServerConnectionLimits {
    uint32_t maxHeadBytes { 16384 }; ///< Also for one chunk size with its extensions, and for all trailer fields.
    uint64_t maxBodyBytes { 4194304 };
    Duration headTimeout { milliseconds(3000) }; ///< From the first byte of a request to the last.
    Duration idleTimeout { milliseconds(15000) }; ///< Between requests.
    size_t maxQueuedOutputBytes { 262144 }; ///< From which on isCongested() returns true.
    BufferBudget* buffers { nullptr }; ///< Bounds what all connections buffer; not owned.
    Duration deadPeerTimeout { milliseconds(10000) }; ///< For unacknowledged data or keep-alive probes.
};

/// One caller's HTTP/1.1 connection: reads requests one at a time and writes their responses in order. Belongs to one
/// event loop. Ownership is shared, because handlers of asynchronous operations can outlive the owner.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
    /// Called for each complete request; the handler sends the response through the connection.
    using RequestHandler = std::function<void(const std::shared_ptr<ServerConnection>&, HttpRequest)>;

    ServerConnection(boost::asio::ip::tcp::socket socket, const ServerConnectionLimits& limits, RequestHandler handler);

    /// Starts reading requests.
    void start();

    /// Sets the function that is called once if the caller disconnects while its request is in progress.
    void setDisconnectHandler(std::function<void()> handler) { m_disconnectHandler = std::move(handler); }

    /// Returns whether no more data should be sent before the caller has read what is queued.
    bool isCongested() const;

    /// Returns whether output waits to be written.
    bool hasQueuedOutput() const { return outputBytes() > 0; }

    /// Sets the function that is called once, when all queued output is written. It is dropped if the connection ends
    /// first.
    void setWritableHandler(std::function<void()> handler) { m_writableHandler = std::move(handler); }

    /// Sends the head of a response. Without `bodyBytes` the body is sent in chunks.
    void sendHead(const HttpResponseHead& head, std::optional<uint64_t> bodyBytes);

    /// Sends a part of the body.
    void sendData(std::string_view data);

    /// Ends the response. Then reads the next request, or closes the connection if this was its last response.
    void finish();

    /// Sends a complete response.
    void sendResponse(const HttpResponseHead& head, std::string_view body);

    /// Closes the connection immediately. The caller sees a response in progress as incomplete.
    void abort();

    /// Closes the connection after the current or next response; an idle connection that has served a request is closed
    /// immediately.
    void closeAfterResponse();

    bool isOpen() const { return !m_isClosed; }

private:
    using Parser = boost::beast::http::request_parser<TextBody>;

    enum class Phase : uint8_t {
        Reading, ///< Waiting for or reading a request.
        Responding, ///< A request is in progress.
        Closing, ///< The last response is being written or was written; further input is discarded.
    };

    /// Returns the handler with a guard that ends the connection, which would not be read again after an exception, so
    /// that the caller would wait for its answer.
    template <typename Handler> auto closingOnFailure(Handler handler);
    /// Closes the socket after a part of the output was lost; the connection ends when its read does.
    void closeSocket();
    void read();
    void onRead(const boost::system::error_code& ec, size_t bytes);
    void parse();
    void onRequest();
    void rejectRequest(uint32_t status);
    /// Counts the buffered input. Returns false if all connections together buffer too much.
    bool updateInputShare();
    size_t outputBytes() const { return m_queuedOutput.size() + m_outputInFlight.size(); }
    void startNextRequest();
    void enqueue(std::string_view bytes);
    void write();
    void onWritten(const boost::system::error_code& ec);
    void startClosing();
    void armTimer(Duration timeout);
    void onDisconnect();
    bool isLastResponse() const { return m_closesAfterResponse || !m_isKeepAlive; }

    /// Maximum bytes of pipelined requests that are buffered while one is in progress.
    static constexpr size_t maxReadAheadBytes = 65536;
    /// Time for which input is still discarded after the last response. Closing earlier could reset the connection
    /// before the caller has read the response.
    static constexpr Duration lingerTimeout = milliseconds(1000);

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    ServerConnectionLimits m_limits;
    RequestHandler m_requestHandler;
    std::function<void()> m_disconnectHandler;
    std::function<void()> m_writableHandler;
    BufferShare m_inputShare; ///< Unparsed bytes, and the request's body until its response is complete.
    BufferShare m_outputShare;
    std::unique_ptr<Parser> m_parser;
    std::string m_unparsedInput;
    size_t m_minInputBytes { 1 }; ///< Input is parsed once so many bytes have arrived.
    std::string m_queuedOutput; ///< Written once the write in flight is complete.
    std::string m_outputInFlight;
    std::array<char, 4096> m_readBuffer {};
    Phase m_phase { Phase::Reading };
    bool m_isReading { false };
    bool m_isClosed { false };
    bool m_isChunked { false };
    bool m_isHeadRequest { false };
    bool m_isKeepAlive { true };
    bool m_closesAfterResponse { false };
    bool m_isContinueSent { false };
    bool m_hasServedRequest { false };
};

} // namespace cyclamenstair
