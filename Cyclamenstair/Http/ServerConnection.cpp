#include <Cyclamenstair/Http/ServerConnection.h>

#include <Cyclamenstair/Http/SocketOptions.h>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace cyclamenstair {

namespace http = boost::beast::http;

namespace {

    constexpr uint32_t badRequest = 400;
    constexpr uint32_t payloadTooLarge = 413;
    constexpr uint32_t headerTooLarge = 431;

    uint32_t statusOf(const boost::system::error_code& ec)
    {
        if (ec == http::error::header_limit)
            return headerTooLarge;
        if (ec == http::error::body_limit)
            return payloadTooLarge;
        return badRequest;
    }

    /// Returns whether the body's framing is one that every server reads the same way.
    bool isFramingPlain(const http::fields& fields)
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
{
}

void ServerConnection::start()
{
    configureSocket(m_socket, m_limits.silence);
    nextRequest();
}

void ServerConnection::sendHead(const HttpAnswerHead& head, std::optional<uint64_t> bodyBytes)
{
    m_isChunked = !bodyBytes.has_value();
    enqueue(encodeHead(head, bodyBytes, isLastAnswer()));
}

void ServerConnection::sendData(std::string_view data)
{
    if (data.empty() || m_isHeadRequest)
        return;
    if (m_isChunked)
        enqueue(encodeChunk(data));
    else
        enqueue(data);
}

void ServerConnection::finish()
{
    if (m_isClosed)
        return;
    if (m_isChunked && !m_isHeadRequest)
        enqueue(lastChunk);
    m_leaveHandler = nullptr;
    m_hasServed = true;
    if (isLastAnswer())
        beginClosing();
    else
        nextRequest();
}

void ServerConnection::answer(const HttpAnswerHead& head, std::string_view body)
{
    sendHead(head, body.size());
    sendData(body);
    finish();
}

void ServerConnection::abort()
{
    m_leaveHandler = nullptr;
    if (m_isClosed)
        return;
    m_isClosed = true;
    boost::system::error_code ec;
    m_timer.cancel(ec);
    m_socket.close(ec);
}

void ServerConnection::closeAfterAnswer()
{
    m_isClosingAfterAnswer = true;
    // A connection whose next request may already be on its way is closed only by its answer, or when it stays idle.
    if (m_phase == Phase::Reading && m_input.empty() && m_hasServed)
        beginClosing();
}

void ServerConnection::read()
{
    if (m_isReading || m_isClosed)
        return;
    m_isReading = true;
    m_socket.async_read_some(
        boost::asio::buffer(m_buffer), [self = shared_from_this()](const boost::system::error_code& ec, size_t bytes) {
            self->m_isReading = false;
            if (!self->m_isClosed)
                self->onRead(ec, bytes);
        });
}

void ServerConnection::onRead(const boost::system::error_code& ec, size_t bytes)
{
    if (ec) {
        leave();
        return;
    }
    if (m_phase == Phase::Closing) {
        read();
        return;
    }
    if (m_phase == Phase::Reading && m_input.empty())
        armTimer(m_limits.headTimeout);
    m_input.append(m_buffer.data(), bytes);
    if (m_phase == Phase::Reading)
        parse();
    // A pending read is also what notices that the caller leaves.
    if (m_input.size() < maxReadAhead || m_phase == Phase::Reading)
        read();
}

void ServerConnection::parse()
{
    while (!m_input.empty() && m_phase == Phase::Reading && !m_isClosed) {
        boost::system::error_code ec;
        const size_t used = m_parser->put(boost::asio::buffer(m_input), ec);
        m_input.erase(0, used);
        if (ec && ec != http::error::need_more) {
            refuse(statusOf(ec));
            return;
        }
        if (m_parser->is_header_done() && !isFramingPlain(m_parser->get())) {
            refuse(badRequest);
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
        if (used == 0)
            return;
    }
}

void ServerConnection::onRequest()
{
    boost::system::error_code ec;
    m_timer.cancel(ec);
    auto& message = m_parser->get();
    m_keepsAlive = m_parser->keep_alive();
    m_isHeadRequest = message.method() == http::verb::head;
    m_phase = Phase::Answering;
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.fields = endToEndFields(message);
    request.hasBody = message.count(http::field::content_length) > 0 || m_parser->chunked();
    request.body = std::move(message.body());
    m_parser.reset();
    m_requestHandler(shared_from_this(), std::move(request));
}

void ServerConnection::refuse(uint32_t status)
{
    m_keepsAlive = false;
    m_phase = Phase::Answering;
    answer({ status, {}, {} }, {});
}

void ServerConnection::nextRequest()
{
    m_phase = Phase::Reading;
    m_isChunked = false;
    m_isHeadRequest = false;
    m_isContinueSent = false;
    m_parser = std::make_unique<Parser>();
    m_parser->eager(true);
    m_parser->header_limit(m_limits.maxHeadBytes);
    m_parser->body_limit(m_limits.maxBodyBytes);
    armTimer(m_input.empty() ? m_limits.idleTimeout : m_limits.headTimeout);
    if (!m_input.empty()) {
        // Deferred, so that a series of requests that are answered at once does not recurse.
        boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->parse(); });
    }
    read();
}

void ServerConnection::enqueue(std::string_view bytes)
{
    if (m_isClosed)
        return;
    m_output += bytes;
    if (m_writing.empty())
        write();
}

void ServerConnection::write()
{
    m_writing = std::exchange(m_output, {});
    boost::asio::async_write(m_socket, boost::asio::buffer(m_writing),
        [self = shared_from_this()](const boost::system::error_code& ec, size_t) { self->onWritten(ec); });
}

void ServerConnection::onWritten(const boost::system::error_code& ec)
{
    m_writing.clear();
    if (m_isClosed)
        return;
    if (ec) {
        leave();
        return;
    }
    if (!m_output.empty()) {
        write();
        return;
    }
    if (m_phase == Phase::Closing) {
        boost::system::error_code ignored;
        m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
        armTimer(lingerTime);
    }
}

void ServerConnection::beginClosing()
{
    m_phase = Phase::Closing;
    armTimer(m_limits.headTimeout);
    if (m_writing.empty())
        onWritten({});
    read();
}

void ServerConnection::armTimer(Duration limit)
{
    m_timer.expires_after(limit);
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code& ec) {
        if (!ec && self->m_phase != Phase::Answering)
            self->abort();
    });
}

void ServerConnection::leave()
{
    const auto handler = std::exchange(m_leaveHandler, nullptr);
    abort();
    if (handler)
        handler();
}

} // namespace cyclamenstair
