#include <Cyclamenstair/Http/ServerConnection.h>

#include <Cyclamenstair/Http/SocketOptions.h>
#include <Cyclamenstair/Telemetry/FailureGuard.h>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace cyclamenstair {

namespace http = boost::beast::http;

namespace {

    constexpr uint32_t badRequest = 400;
    constexpr uint32_t payloadTooLarge = 413;
    constexpr uint32_t headerTooLarge = 431;
    constexpr uint32_t unavailable = 503;

    /// A request's body is also part of the request that is sent to a target.
    constexpr size_t copiesOfBody = 2;

    uint32_t statusForParseError(const boost::system::error_code& ec)
    {
        if (ec == http::error::header_limit)
            return headerTooLarge;
        if (ec == http::error::body_limit)
            return payloadTooLarge;
        return badRequest;
    }

    /// Returns whether every server determines the same body length. Ambiguous framing allows request smuggling.
    bool hasUnambiguousFraming(const http::fields& fields)
    {
        if (fields.count(http::field::transfer_encoding) == 0)
            return fields.count(http::field::content_length) <= 1;
        return fields.count(http::field::transfer_encoding) == 1 && fields.count(http::field::content_length) == 0
            && boost::beast::iequals(fields[http::field::transfer_encoding], "chunked");
    }

} // namespace

ServerConnection::ServerConnection(
    boost::asio::ip::tcp::socket socket, const ServerConnectionLimits& limits, RequestHandler handler)
    : m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
    , m_limits(limits)
    , m_requestHandler(std::move(handler))
    , m_inputShare(limits.buffers)
    , m_outputShare(limits.buffers)
{
}

void ServerConnection::start()
{
    configureSocket(m_socket, m_limits.deadPeerTimeout);
    startNextRequest();
}

void ServerConnection::sendHead(const HttpResponseHead& head, std::optional<uint64_t> bodyBytes)
{
    const FailureGuard guard([this] { closeSocket(); });
    m_isChunked = !bodyBytes.has_value();
    enqueue(encodeResponseHead(head, bodyBytes, isLastResponse()));
}

void ServerConnection::sendData(std::string_view data)
{
    if (data.empty() || m_isHeadRequest)
        return;
    const FailureGuard guard([this] { closeSocket(); });
    if (m_isChunked)
        enqueue(encodeChunk(data));
    else
        enqueue(data);
}

void ServerConnection::finish()
{
    if (m_isClosed)
        return;
    const FailureGuard guard([this] { closeSocket(); });
    if (m_isChunked && !m_isHeadRequest)
        enqueue(lastChunk);
    m_disconnectHandler = nullptr;
    m_hasServedRequest = true;
    if (isLastResponse())
        startClosing();
    else
        startNextRequest();
}

void ServerConnection::sendResponse(const HttpResponseHead& head, std::string_view body)
{
    sendHead(head, body.size());
    sendData(body);
    finish();
}

void ServerConnection::abort()
{
    m_disconnectHandler = nullptr;
    m_writableHandler = nullptr;
    if (m_isClosed)
        return;
    m_isClosed = true;
    boost::system::error_code ec;
    m_timer.cancel(ec);
    m_socket.close(ec);
}

void ServerConnection::closeAfterResponse()
{
    m_closesAfterResponse = true;
    // The first request may already be in transit on a new connection, so that is closed after its response or when it
    // times out.
    if (m_phase == Phase::Reading && m_unparsedInput.empty() && m_hasServedRequest)
        startClosing();
}

void ServerConnection::closeSocket()
{
    // The parser of the next request may be missing.
    m_phase = Phase::Closing;
    boost::system::error_code ec;
    m_socket.close(ec);
    read();
}

template <typename Handler> auto ServerConnection::closingOnFailure(Handler handler)
{
    const auto self = shared_from_this();
    return GuardedHandler(
        [self, handler = std::move(handler)](auto... result) { handler(result...); }, [self] { self->onDisconnect(); });
}

void ServerConnection::read()
{
    if (m_isReading || m_isClosed)
        return;
    m_isReading = true;
    m_socket.async_read_some(
        boost::asio::buffer(m_readBuffer), closingOnFailure([this](const boost::system::error_code& ec, size_t bytes) {
            m_isReading = false;
            if (!m_isClosed)
                onRead(ec, bytes);
        }));
}

void ServerConnection::onRead(const boost::system::error_code& ec, size_t bytes)
{
    if (ec) {
        onDisconnect();
        return;
    }
    if (m_phase == Phase::Closing) {
        read();
        return;
    }
    if (m_phase == Phase::Reading && m_unparsedInput.empty())
        armTimer(m_limits.headTimeout);
    m_unparsedInput.append(m_readBuffer.data(), bytes);
    if (m_phase == Phase::Reading)
        parse();
    if (m_phase == Phase::Reading && !updateInputShare())
        rejectRequest(unavailable);
    // The pending read also detects that the caller disconnects.
    if (m_unparsedInput.size() < maxReadAheadBytes || m_phase == Phase::Reading)
        read();
}

void ServerConnection::parse()
{
    while (m_unparsedInput.size() >= m_minInputBytes && m_phase == Phase::Reading && !m_isClosed) {
        boost::system::error_code ec;
        const size_t consumed = m_parser->put(boost::asio::buffer(m_unparsedInput), ec);
        m_unparsedInput.erase(0, consumed);
        if (ec && ec != http::error::need_more) {
            rejectRequest(statusForParseError(ec));
            return;
        }
        if (m_parser->is_header_done() && !hasUnambiguousFraming(m_parser->get())) {
            rejectRequest(badRequest);
            return;
        }
        if (m_parser->is_done()) {
            onRequest();
            return;
        }
        if (m_parser->is_header_done() && !m_isContinueSent && m_parser->get().count(http::field::expect) > 0) {
            m_isContinueSent = true;
            enqueue("HTTP/1.1 100 Continue\r\n\r\n");
        }
        if (ec == http::error::need_more) {
            m_minInputBytes = m_parser->is_header_done() && !m_unparsedInput.empty() ? minResumedFramingBytes : 1;
            break;
        }
        if (consumed == 0)
            break;
    }
    // The parser consumes body bytes at once, so what it leaves is an incomplete line or field of the framing.
    if (m_phase == Phase::Reading && !m_isClosed && m_unparsedInput.size() > m_limits.maxHeadBytes)
        rejectRequest(m_parser->is_header_done() ? badRequest : headerTooLarge);
}

void ServerConnection::onRequest()
{
    boost::system::error_code ec;
    m_timer.cancel(ec);
    auto& message = m_parser->get();
    m_isKeepAlive = m_parser->keep_alive();
    m_isHeadRequest = message.method() == http::verb::head;
    m_phase = Phase::Responding;
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.fields = endToEndFields(message);
    request.hasBody = message.count(http::field::content_length) > 0 || m_parser->chunked();
    request.body = std::move(message.body());
    m_parser.reset();
    m_requestHandler(shared_from_this(), std::move(request));
}

bool ServerConnection::updateInputShare()
{
    const auto bodyBytes = m_parser ? m_parser->get().body().size() : 0;
    return m_inputShare.resize(m_unparsedInput.size() + bodyBytes * copiesOfBody);
}

void ServerConnection::rejectRequest(uint32_t status)
{
    m_isKeepAlive = false;
    m_phase = Phase::Responding;
    m_parser.reset();
    m_unparsedInput = {};
    (void)updateInputShare();
    sendResponse({ status, {}, {} }, {});
}

void ServerConnection::startNextRequest()
{
    m_phase = Phase::Reading;
    m_isChunked = false;
    m_isHeadRequest = false;
    m_isContinueSent = false;
    m_parser = std::make_unique<Parser>();
    m_minInputBytes = 1;
    (void)updateInputShare();
    m_parser->eager(true);
    m_parser->header_limit(m_limits.maxHeadBytes);
    m_parser->body_limit(m_limits.maxBodyBytes);
    armTimer(m_unparsedInput.empty() ? m_limits.idleTimeout : m_limits.headTimeout);
    if (!m_unparsedInput.empty()) {
        // Posted rather than called: pipelined requests with immediate responses would recurse.
        boost::asio::post(m_socket.get_executor(), closingOnFailure([this] { parse(); }));
    }
    read();
}

void ServerConnection::enqueue(std::string_view bytes)
{
    if (m_isClosed)
        return;
    m_queuedOutput += bytes;
    (void)m_outputShare.resize(outputBytes());
    if (m_outputInFlight.empty())
        write();
}

bool ServerConnection::isCongested() const
{
    return outputBytes() > m_limits.maxQueuedOutputBytes
        || (outputBytes() > 0 && m_limits.buffers && m_limits.buffers->isScarce());
}

void ServerConnection::write()
{
    m_outputInFlight = std::exchange(m_queuedOutput, {});
    const auto self = shared_from_this();
    boost::asio::async_write(m_socket, boost::asio::buffer(m_outputInFlight),
        GuardedHandler([self](const boost::system::error_code& ec, size_t) { self->onWritten(ec); },
            // Reported by a read: the sender of the response does not expect a disconnect meanwhile.
            [self] { self->closeSocket(); }));
}

void ServerConnection::onWritten(const boost::system::error_code& ec)
{
    m_outputInFlight = {};
    (void)m_outputShare.resize(outputBytes());
    if (m_isClosed)
        return;
    if (ec) {
        onDisconnect();
        return;
    }
    if (!m_queuedOutput.empty()) {
        write();
        return;
    }
    if (const auto handler = std::exchange(m_writableHandler, nullptr))
        handler();
    if (m_phase == Phase::Closing) {
        boost::system::error_code ignored;
        m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
        armTimer(lingerTimeout);
    }
}

void ServerConnection::startClosing()
{
    m_phase = Phase::Closing;
    armTimer(m_limits.headTimeout);
    if (m_outputInFlight.empty())
        onWritten({});
    read();
}

void ServerConnection::armTimer(Duration timeout)
{
    m_timer.expires_after(timeout);
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code& ec) {
        if (!ec && self->m_phase != Phase::Responding)
            self->abort();
    });
}

void ServerConnection::onDisconnect()
{
    const auto handler = std::exchange(m_disconnectHandler, nullptr);
    abort();
    if (handler)
        handler();
}

} // namespace cyclamenstair
