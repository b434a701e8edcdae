#include <Cyclamenstair/Transport/FrameSocket.h>

#include <Cyclamenstair/Codec/PeerMessageCodec.h>
#include <Cyclamenstair/Core/Crypto.h>

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cyclamenstair {

namespace {

    constexpr size_t lengthBytes = 4;
    constexpr size_t macBytes = 32;
    constexpr size_t nonceBytes = 16;

    std::string encodeLength(uint32_t length)
    {
        const uint32_t network = htonl(length);
        return { reinterpret_cast<const char*>(&network), lengthBytes };
    }

    uint32_t decodeLength(const std::string& bytes)
    {
        uint32_t network = 0;
        std::memcpy(&network, bytes.data(), lengthBytes);
        return ntohl(network);
    }

    Error connectError(const std::string& address, const std::string& message)
    {
        return { ErrorKind::Unavailable, "peer.connect", address, message };
    }

    Result<sockaddr_in> parseAddress(const std::string& address)
    {
        const auto colon = address.rfind(':');
        sockaddr_in result {};
        result.sin_family = AF_INET;
        if (colon == std::string::npos || inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr) != 1)
            return connectError(address, "malformed address: expected IPV4:PORT");
        const int port = std::atoi(address.c_str() + colon + 1);
        if (port < 1 || port > 65535)
            return connectError(address, "malformed address: expected a port from 1 to 65535");
        result.sin_port = htons(static_cast<uint16_t>(port));
        return result;
    }

    void setNoDelay(int descriptor)
    {
        const int enabled = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    }

} // namespace

SocketHandle& SocketHandle::operator=(SocketHandle&& other) noexcept
{
    std::swap(m_descriptor, other.m_descriptor);
    return *this;
}

SocketHandle::~SocketHandle()
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
}

int SocketHandle::release() { return std::exchange(m_descriptor, -1); }

FrameSocket::FrameSocket(
    SocketHandle handle, std::string peerAddress, PeerSide side, std::string fleetKey, Duration timeout)
    : m_handle(std::move(handle))
    , m_peerAddress(std::move(peerAddress))
    , m_side(side)
    , m_fleetKey(std::move(fleetKey))
    , m_timeout(timeout)
{
    setNoDelay(m_handle.descriptor());
}

Result<FrameSocket> FrameSocket::connect(
    const std::string& address, const std::string& node, const std::string& fleetKey, Duration timeout)
{
    const auto endpoint = parseAddress(address);
    if (!endpoint)
        return endpoint.error();
    SocketHandle handle(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (handle.descriptor() < 0)
        return connectError(address, std::strerror(errno));
    // Lets a listener bind the local port, also while the closed connection is in TIME_WAIT.
    const int enabled = 1;
    setsockopt(handle.descriptor(), SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    const int connectResult
        = ::connect(handle.descriptor(), reinterpret_cast<const sockaddr*>(&endpoint.value()), sizeof(sockaddr_in));
    if (connectResult != 0 && errno != EINPROGRESS)
        return connectError(address, std::strerror(errno));
    try {
        FrameSocket socket(std::move(handle), address, PeerSide::Client, fleetKey, timeout);
        socket.waitUntilReady(POLLOUT, monotonicNow() + timeout);
        int socketError = 0;
        socklen_t size = sizeof(socketError);
        getsockopt(socket.m_handle.descriptor(), SOL_SOCKET, SO_ERROR, &socketError, &size);
        if (socketError != 0)
            return connectError(address, std::strerror(socketError));
        socket.exchangeHello(node);
        return socket;
    } catch (const Exception& exception) {
        return exception.error();
    }
}

Result<FrameSocket> FrameSocket::accept(
    SocketHandle handle, const std::string& node, const std::string& fleetKey, Duration timeout)
{
    try {
        FrameSocket socket(std::move(handle), "accepted connection", PeerSide::Server, fleetKey, timeout);
        socket.exchangeHello(node);
        return socket;
    } catch (const Exception& exception) {
        return exception.error();
    }
}

void FrameSocket::exchangeHello(const std::string& node)
{
    // The authentication code of the client's Hello covers no nonce, as none is known yet; that of the server's Hello
    // covers the client's nonce. The codes of all later frames cover both nonces.
    const auto localNonce = randomBytes(nonceBytes);
    const auto receiveHello = [&](std::string& peerNonce) {
        const auto message = receive();
        const auto* hello = std::get_if<HelloMessage>(&message);
        if (!hello || hello->nonce.size() != nonceBytes)
            fail(ErrorKind::Unauthorized, "peer.hello",
                "expected a Hello with a nonce of 16 bytes as the first message");
        peerNonce = hello->nonce;
        m_peerNode = hello->node;
    };
    if (m_side == PeerSide::Client) {
        send(HelloMessage { node, localNonce });
        m_clientNonce = localNonce;
        receiveHello(m_serverNonce);
    } else {
        receiveHello(m_clientNonce);
        send(HelloMessage { node, localNonce });
        m_serverNonce = localNonce;
    }
}

void FrameSocket::send(const PeerMessage& message)
{
    const auto body = encodePeerMessage(message);
    if (body.size() > maxFrameBytes)
        fail(ErrorKind::LimitExceeded, "peer.send", "the encoded message exceeds the maximum frame size");
    sendAll(encodeLength(static_cast<uint32_t>(body.size())) + authenticationCode(m_side, m_sentFrames++, body) + body);
}

PeerMessage FrameSocket::receive()
{
    const auto header = receiveExactly(lengthBytes + macBytes);
    const auto length = decodeLength(header);
    if (length > maxFrameBytes)
        fail(ErrorKind::LimitExceeded, "peer.receive", "the announced frame length exceeds the maximum frame size");
    const auto body = receiveExactly(length);
    const auto sender = m_side == PeerSide::Client ? PeerSide::Server : PeerSide::Client;
    if (!equalsConstantTime(
            authenticationCode(sender, m_receivedFrames++, body), std::string_view(header).substr(lengthBytes)))
        fail(ErrorKind::Unauthorized, "peer.receive", "wrong authentication code; the peer may use another fleet key");
    return decodePeerMessage(body);
}

std::string FrameSocket::authenticationCode(PeerSide sender, uint64_t frameNumber, const std::string& body) const
{
    std::string macInput;
    macInput += sender == PeerSide::Client ? 'c' : 's';
    macInput += std::to_string(frameNumber) + ";" + std::to_string(m_clientNonce.size()) + ";" + m_clientNonce
        + std::to_string(m_serverNonce.size()) + ";" + m_serverNonce + body;
    return hmacSha256(m_fleetKey, macInput);
}

void FrameSocket::sendAll(const std::string& bytes)
{
    const auto deadline = monotonicNow() + m_timeout;
    size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count
            = ::send(m_handle.descriptor(), bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count >= 0)
            sent += static_cast<size_t>(count);
        else if (errno == EAGAIN || errno == EWOULDBLOCK)
            waitUntilReady(POLLOUT, deadline);
        else if (errno != EINTR)
            fail(ErrorKind::Unavailable, "peer.send", std::strerror(errno));
    }
}

std::string FrameSocket::receiveExactly(size_t count)
{
    const auto deadline = monotonicNow() + m_timeout;
    std::string bytes(count, '\0');
    size_t received = 0;
    while (received < count) {
        const auto result = ::recv(m_handle.descriptor(), bytes.data() + received, count - received, MSG_DONTWAIT);
        if (result > 0)
            received += static_cast<size_t>(result);
        else if (result == 0)
            fail(ErrorKind::Unavailable, "peer.receive", "the peer closed the connection");
        else if (errno == EAGAIN || errno == EWOULDBLOCK)
            waitUntilReady(POLLIN, deadline);
        else if (errno != EINTR)
            fail(ErrorKind::Unavailable, "peer.receive", std::strerror(errno));
    }
    return bytes;
}

void FrameSocket::waitUntilReady(short events, TimePoint deadline) const
{
    const auto remainingMs = toMilliseconds(deadline - monotonicNow());
    pollfd entry { m_handle.descriptor(), events, 0 };
    if (remainingMs <= 0 || ::poll(&entry, 1, static_cast<int>(remainingMs)) <= 0)
        fail(ErrorKind::Timeout, "peer.wait", "timed out while waiting for the peer");
}

void FrameSocket::fail(ErrorKind kind, const std::string& step, const std::string& message) const
{
    throw Exception({ kind, step, m_peerNode.empty() ? m_peerAddress : m_peerNode, message });
}

} // namespace cyclamenstair
