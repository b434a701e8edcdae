#pragma once

#include <utility>

#include <Cyclamenstair/Core/Error.h>
#include <Cyclamenstair/Http/HttpMessage.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>
#include <functional>
#include <memory>
#include <variant>

namespace cyclamenstair {

/// Head of the answer to the request in progress.
struct AnswerHeadRead {
    HttpAnswerHead head;
};

struct AnswerDataRead {
    std::string data;
};

/// The answer is complete. The connection can be used again if isReusable() says so.
struct AnswerComplete { };

/// The connection failed; `wasSent` tells whether bytes of the request were written.
struct CallFailed {
    bool wasSent { false };
    Error error;
};

using ClientEvent = std::variant<AnswerHeadRead, AnswerDataRead, AnswerComplete, CallFailed>;

/// Settings of connections to servers.
struct ClientConnectionSettings {
    Duration connectTimeout { milliseconds(700) }; ///< A callers' own limit for a new connection is 1 s.
    Duration silence { milliseconds(3000) }; ///< Unacknowledged bytes or probes for this long end the connection.
    Duration maxIdle { milliseconds(4000) }; ///< Reuse after a longer pause is avoided if the server names no limit.
    uint32_t maxHeadBytes { 32768 };
};

/// One HTTP/1.1 connection to a server, for one request at a time. Belongs to one event loop. Handlers of asynchronous
/// operations outlive their owner, hence the shared ownership.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
    using Handler = std::function<void(ClientEvent)>;

    ClientConnection(boost::asio::io_context& context, boost::asio::ip::tcp::endpoint server,
        const ClientConnectionSettings& settings);

    /// Connects if necessary, sends the bytes of a request, and reports the answer. A HEAD request has an answer
    /// without body. The handler is not called after close().
    void send(std::string requestBytes, bool isHead, Handler handler);

    /// Closes at once, without a further call of the handler.
    void close();

    /// Returns whether the connection is open, idle, and expected to stay open for long enough.
    bool isReusable(TimePoint now) const;

    const boost::asio::ip::tcp::endpoint& server() const { return m_server; }

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void connect();
    void write();
    void read();
    void onRead(const boost::system::error_code& ec, size_t bytes);
    void parse();
    void onParsed();
    void emitHead();
    void emitData();
    void complete();
    void noteKeepAlive(const boost::beast::http::fields& fields);
    void fail(const std::string& step, const std::string& message);
    void startParser();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_connectTimer;
    boost::asio::ip::tcp::endpoint m_server;
    const ClientConnectionSettings* m_settings;
    Handler m_handler;
    std::unique_ptr<Parser> m_parser;
    std::string m_output;
    std::string m_input; ///< Bytes that are read and not yet parsed.
    std::array<char, 8192> m_buffer {};
    bool m_isHead { false };
    bool m_isOpen { false };
    bool m_isClosed { false };
    bool m_isReading { false };
    bool m_isHeadEmitted { false };
    bool m_wasSent { false };
    bool m_isWriting { false };
    bool m_keepsAlive { true };
    TimePoint m_idleUntil;
};

} // namespace cyclamenstair
