#include <Cyclamenstair/Peering/FrameChannel.h>

#include <Cyclamenstair/Http/SocketOptions.h>
#include <Cyclamenstair/Telemetry/FailureGuard.h>
#include <Cyclamenstair/Telemetry/Log.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace cyclamenstair {

namespace {

    std::string encodeHeader(uint32_t length)
    {
        return { static_cast<char>(length >> 24), static_cast<char>(length >> 16), static_cast<char>(length >> 8),
            static_cast<char>(length) };
    }

} // namespace

FrameChannel::FrameChannel(boost::asio::ip::tcp::socket socket, Handlers handlers, BufferBudget* buffers)
    : m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
    , m_handlers(std::move(handlers))
    , m_readShare(buffers)
    , m_writeShare(buffers)
{
}

template <typename Handler> auto FrameChannel::closingOnFailure(Handler handler)
{
    const auto self = shared_from_this();
    return GuardedHandler([self, handler = std::move(handler)](
                              const boost::system::error_code& ec, auto... bytes) { handler(ec, bytes...); },
        [self] { self->fail(); });
}

void FrameChannel::connect(const boost::asio::ip::tcp::endpoint& peer)
{
    const FailureGuard guard([self = shared_from_this()] { self->close(); });
    m_timer.expires_after(connectTimeout);
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code& ec) {
        if (!ec && !self->m_isOpen)
            self->fail();
    });
    // async_connect() opens the socket itself, and reports an error, if this fails.
    boost::system::error_code openError;
    openClientSocket(m_socket, peer.protocol(), openError);
    m_socket.async_connect(peer, closingOnFailure([this](const boost::system::error_code& ec) {
        if (m_isClosed)
            return;
        if (ec)
            fail();
        else
            start();
    }));
}

void FrameChannel::start()
{
    boost::system::error_code ec;
    m_timer.cancel(ec);
    configureSocket(m_socket, deadPeerTimeout);
    m_isOpen = true;
    readHeader();
    if (!m_writeQueue.empty())
        write();
}

void FrameChannel::send(const std::string& content)
{
    // The queue may hold a part of the frame.
    const FailureGuard guard([this] { closeSocket(); });
    if (content.size() > maxFrameBytes) {
        logEvent(LogSeverity::Warning, "peer_frame_too_large", { { "bytes", std::to_string(content.size()) } });
        return;
    }
    if (m_isClosed || m_writeQueue.size() + content.size() > maxQueuedBytes)
        return;
    if (!m_writeShare.resize(queuedBytes() + content.size())) {
        (void)m_writeShare.resize(queuedBytes());
        return;
    }
    m_writeQueue += encodeHeader(static_cast<uint32_t>(content.size()));
    m_writeQueue += content;
    if (m_isOpen && m_writeBuffer.empty())
        write();
}

void FrameChannel::close()
{
    m_handlers = {};
    m_isClosed = true;
    m_isOpen = false;
    boost::system::error_code ec;
    m_timer.cancel(ec);
    m_socket.close(ec);
}

void FrameChannel::closeSocket()
{
    boost::system::error_code ec;
    m_socket.close(ec);
}

void FrameChannel::readHeader()
{
    boost::asio::async_read(
        m_socket, boost::asio::buffer(m_header), closingOnFailure([this](const boost::system::error_code& ec, size_t) {
            if (m_isClosed)
                return;
            if (ec)
                fail();
            else
                onHeader();
        }));
}

void FrameChannel::onHeader()
{
    const uint32_t length = uint32_t { m_header[0] } << 24 | uint32_t { m_header[1] } << 16
        | uint32_t { m_header[2] } << 8 | uint32_t { m_header[3] };
    if (length > maxFrameBytes)
        fail();
    else
        readContent(length);
}

void FrameChannel::readContent(uint32_t length)
{
    if (!m_readShare.resize(length)) {
        fail();
        return;
    }
    m_content.resize(length);
    boost::asio::async_read(
        m_socket, boost::asio::buffer(m_content), closingOnFailure([this](const boost::system::error_code& ec, size_t) {
            if (m_isClosed)
                return;
            if (ec)
                fail();
            else
                onContent();
        }));
}

void FrameChannel::onContent()
{
    const auto onFrame = m_handlers.onFrame;
    onFrame(shared_from_this(), std::exchange(m_content, {}));
    (void)m_readShare.resize(0);
    if (!m_isClosed)
        readHeader();
}

void FrameChannel::write()
{
    m_writeBuffer = std::exchange(m_writeQueue, {});
    const auto self = shared_from_this();
    boost::asio::async_write(m_socket, boost::asio::buffer(m_writeBuffer),
        GuardedHandler([self](const boost::system::error_code& ec, size_t) { self->onWritten(ec); },
            // Reported by the pending read: the caller of send() does not expect that the channel closes meanwhile.
            [self] { self->closeSocket(); }));
}

void FrameChannel::onWritten(const boost::system::error_code& ec)
{
    m_writeBuffer = {};
    (void)m_writeShare.resize(queuedBytes());
    if (m_isClosed)
        return;
    if (ec)
        fail();
    else if (!m_writeQueue.empty())
        write();
}

void FrameChannel::fail()
{
    // Moved: a copy can fail for lack of memory, and the channel would stay open.
    const auto onClosed = std::exchange(m_handlers.onClosed, nullptr);
    close();
    if (onClosed)
        onClosed();
}

} // namespace cyclamenstair
