#pragma once

#include <utility>

#include <Cyclamenstair/Core/Error.h>
#include <Cyclamenstair/Http/ResponseReader.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <variant>

namespace cyclamenstair {

/// The head of the response was received.
struct ResponseHeadReceived {
    HttpResponseHead head;
    bool isFirstOfConnection { true }; ///< No response came before it on the connection.
};

/// A part of the response body was received.
struct ResponseDataReceived {
    std::string data;
};

/// The response is complete. The connection can be reused if isReusable() returns true.
struct ResponseComplete {
    bool isFramed { true }; ///< The response states where its body ends, instead of ending with the connection.
};

/// The connection failed before the response was complete. If `wasSent` is true, the server may have received the
/// request.
struct CallFailed {
    bool wasSent { false };
    Error error;
    bool isClosedByServer { false }; ///< The server closed or reset the connection.
};

using ClientEvent = std::variant<ResponseHeadReceived, ResponseDataReceived, ResponseComplete, CallFailed>;

/// Settings of a ClientConnection.
struct ClientConnectionSettings {
    Duration connectTimeout { milliseconds(700) }; ///< Below the callers' own connect timeout of 1 s.
    Duration deadPeerTimeout { milliseconds(3000) }; ///< For unacknowledged data or keep-alive probes.
    Duration maxIdleTime { milliseconds(4000) }; ///< Limit on idle time before reuse, unless the server sends one.
    ResponseLimits response {};
};

/// One HTTP/1.1 connection to a server, for one request at a time. Belongs to one event loop. Ownership is shared,
/// because handlers of asynchronous operations can outlive the owner.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
    using Handler = std::function<void(ClientEvent)>;

    ClientConnection(boost::asio::io_context& context, boost::asio::ip::tcp::endpoint server,
        const ClientConnectionSettings& settings);

    /// Connects if necessary, sends an encoded request, and reports the response to the handler. `isHeadRequest` means
    /// that the response has no body. The handler is not called after close().
    /// If this throws, the connection is closed and the handler not called.
    /// If `mayWrite` is set, it is called right before the request is written; if it returns false, the request fails
    /// unsent.
    void send(std::string requestBytes, bool isHeadRequest, Handler handler, std::function<bool()> mayWrite = nullptr);

    /// Closes the connection immediately, without calling the handler.
    void close();

    /// Reads no more of the response until resumeReading() is called, so that the server stops sending. Bytes that were
    /// read before are still reported.
    void pauseReading() { m_isReadingPaused = true; }
    void resumeReading();

    /// Returns whether the connection is open and idle, no bytes have arrived that belong to no request, and the server
    /// is unlikely to close it before the next request.
    bool isReusable(TimePoint now) const;

    const boost::asio::ip::tcp::endpoint& server() const { return m_server; }

private:
    /// Returns the handler with a guard that ends the request, which would not go on after an exception.
    template <typename Function> auto failingOnException(Function handler);
    void onException();
    void connect();
    void write();
    void read();
    void onRead(const boost::system::error_code& ec, size_t bytes);
    void onWritten(const boost::system::error_code& ec);
    /// The server closed the connection in order: ends a response without a length.
    void endInput();
    void reportParts();
    void report(ResponseHeadPart& part);
    void report(ResponseDataPart& part);
    void report(ResponseEndPart& part);
    void report(MalformedResponse& malformed);
    void updateIdleDeadline(const std::string& keepAlive);
    void fail(ErrorKind kind, const std::string& step, const std::string& message, bool isClosedByServer = false);

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_connectTimer;
    boost::asio::ip::tcp::endpoint m_server;
    const ClientConnectionSettings* m_settings;
    Handler m_handler;
    std::function<bool()> m_mayWrite;
    std::optional<ResponseReader> m_reader; ///< Of the response to the current or last request.
    uint64_t m_sentRequests { 0 };
    std::string m_requestBytes;
    std::array<char, 8192> m_readBuffer {};
    bool m_isOpen { false };
    bool m_isClosed { false };
    bool m_isReading { false };
    bool m_isReadingPaused { false };
    bool m_wasSent { false };
    bool m_isWriting { false };
    bool m_hasWriteFailed { false };
    bool m_isEndPending { false }; ///< The server closed the connection while the request was being written.
    bool m_isKeepAlive { true };
    TimePoint m_idleDeadline;
};

} // namespace cyclamenstair
