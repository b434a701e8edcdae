#include <Cyclamenstair/Http/ClientConnection.h>

#include <Cyclamenstair/Http/SocketOptions.h>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <charconv>
#include <limits>

namespace cyclamenstair {

namespace http = boost::beast::http;

namespace {

    /// Margin below the server's idle timeout: the server may close the connection while a request is in transit.
    constexpr Duration idleMargin = milliseconds(1000);

    std::string endpointText(const boost::asio::ip::tcp::endpoint& endpoint)
    {
        return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
    }

} // namespace

ClientConnection::ClientConnection(
    boost::asio::io_context& context, boost::asio::ip::tcp::endpoint server, const ClientConnectionSettings& settings)
    : m_socket(context)
    , m_connectTimer(context)
    , m_server(std::move(server))
    , m_settings(&settings)
{
}

void ClientConnection::send(
    std::string requestBytes, bool isHeadRequest, Handler handler, std::function<bool()> mayWrite)
{
    m_requestBytes = std::move(requestBytes);
    m_isHeadRequest = isHeadRequest;
    m_handler = std::move(handler);
    m_mayWrite = std::move(mayWrite);
    ++m_sentRequests;
    m_interimResponses = 0;
    m_isEndedByClose = false;
    m_wasSent = false;
    m_isKeepAlive = true;
    startParser();
    if (m_isOpen)
        write();
    else
        connect();
}

void ClientConnection::close()
{
    m_handler = nullptr;
    m_isClosed = true;
    m_isOpen = false;
    boost::system::error_code ec;
    m_connectTimer.cancel(ec);
    m_socket.close(ec);
}

bool ClientConnection::isReusable(TimePoint now) const
{
    if (!m_isOpen || m_isClosed || m_handler || m_isWriting || !m_isKeepAlive || !m_unparsedInput.empty()
        || now >= m_idleDeadline)
        return false;
    // Bytes that arrived after the response would be taken for the next one.
    boost::system::error_code ec;
    return m_socket.available(ec) == 0 && !ec;
}

void ClientConnection::connect()
{
    m_connectTimer.expires_after(m_settings->connectTimeout);
    m_connectTimer.async_wait([self = shared_from_this()](const boost::system::error_code& ec) {
        if (!ec && !self->m_isOpen && !self->m_isClosed)
            self->fail(ErrorKind::Unavailable, "http.connect", "connection attempt timed out");
    });
    m_socket.async_connect(m_server, [self = shared_from_this()](const boost::system::error_code& ec) {
        if (self->m_isClosed)
            return;
        boost::system::error_code ignored;
        self->m_connectTimer.cancel(ignored);
        if (ec) {
            self->fail(ErrorKind::Unavailable, "http.connect", ec.message());
            return;
        }
        self->m_isOpen = true;
        configureSocket(self->m_socket, self->m_settings->deadPeerTimeout);
        self->read();
        self->write();
    });
}

void ClientConnection::write()
{
    if (m_mayWrite && !m_mayWrite()) {
        const auto self = shared_from_this();
        boost::asio::post(m_socket.get_executor(),
            [self] { self->fail(ErrorKind::Unavailable, "http.write", "the request may no longer be sent"); });
        return;
    }
    // Once the write is handed to the operating system, any part of it may reach the server.
    m_wasSent = true;
    m_isWriting = true;
    boost::asio::async_write(m_socket, boost::asio::buffer(m_requestBytes),
        [self = shared_from_this()](const boost::system::error_code& ec, size_t) {
            self->m_isWriting = false;
            // An idle connection must not hold the bytes of its last request.
            self->m_requestBytes = {};
            // The server may respond and stop reading before it has the whole body; still read the response.
            if (ec && !self->m_isClosed && !self->m_isHeadReported && !self->m_isReading)
                self->fail(ErrorKind::Unavailable, "http.write", ec.message());
        });
}

void ClientConnection::read()
{
    m_isReading = true;
    m_socket.async_read_some(boost::asio::buffer(m_readBuffer),
        [self = shared_from_this()](const boost::system::error_code& ec, size_t bytes) {
            self->m_isReading = false;
            if (!self->m_isClosed)
                self->onRead(ec, bytes);
        });
}

void ClientConnection::onRead(const boost::system::error_code& ec, size_t bytes)
{
    if (!m_handler) {
        // Data or a close on an idle connection belongs to no request.
        close();
        return;
    }
    if (ec == boost::asio::error::eof) {
        boost::system::error_code parserError;
        if (m_parser->got_some())
            m_parser->put_eof(parserError);
        if (m_parser->is_done() && !parserError) {
            m_isKeepAlive = false;
            m_isEndedByClose = true;
            onParsed();
            return;
        }
    }
    if (ec) {
        fail(ErrorKind::Unavailable, "http.read", ec.message(),
            ec == boost::asio::error::eof || ec == boost::asio::error::connection_reset);
        return;
    }
    m_unparsedInput.append(m_readBuffer.data(), bytes);
    const auto self = shared_from_this();
    parse();
    if (!m_isClosed && !m_isReading && !m_isReadingPaused)
        read();
}

void ClientConnection::resumeReading()
{
    if (std::exchange(m_isReadingPaused, false) && m_isOpen && !m_isReading)
        read();
}

void ClientConnection::parse()
{
    while (m_unparsedInput.size() >= m_minInputBytes && m_handler && !m_parser->is_done()) {
        boost::system::error_code ec;
        const size_t consumed = m_parser->put(boost::asio::buffer(m_unparsedInput), ec);
        m_unparsedInput.erase(0, consumed);
        const bool needsMore = ec == http::error::need_more;
        if (ec && !needsMore) {
            fail(ErrorKind::Unavailable, "http.parse", ec.message());
            return;
        }
        // Skip interim responses (1xx), which precede the final one.
        if (m_parser->is_done()
            && http::to_status_class(m_parser->get().result()) == http::status_class::informational) {
            if (++m_interimResponses > m_settings->maxInterimResponses) {
                fail(ErrorKind::Unavailable, "http.parse", "too many interim responses");
                return;
            }
            startParser();
            continue;
        }
        // Set before the handler is called, which can send the next request.
        m_minInputBytes
            = needsMore && m_parser->is_header_done() && !m_unparsedInput.empty() ? minResumedFramingBytes : 1;
        if (consumed > 0)
            onParsed();
        if (needsMore || consumed == 0)
            break;
    }
    // The parser consumes body bytes at once, so what it leaves is an incomplete line or field of the framing.
    if (m_handler && !m_parser->is_done() && m_unparsedInput.size() > m_settings->maxFramingBytes)
        fail(ErrorKind::LimitExceeded, "http.parse", "a chunk size or the trailer is too large");
}

void ClientConnection::onParsed()
{
    if (!m_parser->is_header_done())
        return;
    if (!m_isHeadReported)
        reportHead();
    if (m_handler)
        reportData();
    if (m_handler && m_parser->is_done())
        complete();
}

void ClientConnection::reportHead()
{
    m_isHeadReported = true;
    const auto& message = m_parser->get();
    m_isKeepAlive = m_isKeepAlive && m_parser->keep_alive();
    updateIdleDeadline(message);
    HttpResponseHead head { message.result_int(), std::string(message.reason()), endToEndFields(message) };
    const auto handler = m_handler;
    handler(ResponseHeadReceived { std::move(head), m_sentRequests == 1 });
}

void ClientConnection::reportData()
{
    auto& body = m_parser->get().body();
    if (body.empty())
        return;
    const auto handler = m_handler;
    handler(ResponseDataReceived { std::exchange(body, {}) });
}

void ClientConnection::complete()
{
    m_isReadingPaused = false;
    // After surplus bytes, or a response before the request was written, the connection's state is undefined.
    if (!m_unparsedInput.empty() || m_isWriting)
        m_isKeepAlive = false;
    const auto handler = std::exchange(m_handler, nullptr);
    handler(ResponseComplete { !m_isEndedByClose });
}

void ClientConnection::updateIdleDeadline(const http::fields& fields)
{
    Duration limit = m_settings->maxIdleTime;
    const auto keepAliveText = std::string(fields[http::field::keep_alive]);
    constexpr std::string_view name = "timeout=";
    if (const auto start = keepAliveText.find(name); start != std::string::npos) {
        int seconds = 0;
        std::from_chars(
            keepAliveText.data() + start + name.size(), keepAliveText.data() + keepAliveText.size(), seconds);
        limit = std::chrono::seconds(seconds) - idleMargin;
    }
    m_idleDeadline = monotonicNow() + limit;
}

void ClientConnection::fail(ErrorKind kind, const std::string& step, const std::string& message, bool isClosedByServer)
{
    const auto handler = std::exchange(m_handler, nullptr);
    const bool wasSent = m_wasSent;
    close();
    if (handler)
        handler(CallFailed { wasSent, { kind, step, endpointText(m_server), message }, isClosedByServer });
}

void ClientConnection::startParser()
{
    m_parser = std::make_unique<Parser>();
    m_parser->eager(true);
    m_parser->header_limit(m_settings->maxHeadBytes);
    m_parser->body_limit(std::numeric_limits<uint64_t>::max());
    m_parser->skip(m_isHeadRequest);
    m_isHeadReported = false;
    m_minInputBytes = 1;
}

} // namespace cyclamenstair
