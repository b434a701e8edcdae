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
    constexpr size_t codeBytes = 32;
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
            return connectError(address, "the address is not IPV4:PORT");
        const int port = std::atoi(address.c_str() + colon + 1);
        if (port < 1 || port > 65535)
            return connectError(address, "the port is not in 1 to 65535");
        result.sin_port = htons(static_cast<uint16_t>(port));
        return result;
    }

    void disableDelay(int descriptor)
    {
        const int on = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
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
    SocketHandle handle, std::string peerAddress, PeerSide side, std::string fleetKey, Duration limit)
    : m_handle(std::move(handle))
    , m_peerAddress(std::move(peerAddress))
    , m_side(side)
    , m_fleetKey(std::move(fleetKey))
    , m_limit(limit)
{
    disableDelay(m_handle.descriptor());
}

Result<FrameSocket> FrameSocket::connect(
    const std::string& address, const std::string& node, const std::string& fleetKey, Duration limit)
{
    const auto target = parseAddress(address);
    if (!target)
        return target.error();
    SocketHandle handle(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (handle.descriptor() < 0)
        return connectError(address, std::strerror(errno));
    const int started
        = ::connect(handle.descriptor(), reinterpret_cast<const sockaddr*>(&target.value()), sizeof(sockaddr_in));
    if (started != 0 && errno != EINPROGRESS)
        return connectError(address, std::strerror(errno));
    try {
        FrameSocket socket(std::move(handle), address, PeerSide::Client, fleetKey, limit);
        socket.waitUntilReady(POLLOUT, monotonicNow() + limit);
        int failure = 0;
        socklen_t size = sizeof(failure);
        getsockopt(socket.m_handle.descriptor(), SOL_SOCKET, SO_ERROR, &failure, &size);
        if (failure != 0)
            return connectError(address, std::strerror(failure));
        socket.exchangeHello(node);
        return socket;
    } catch (const Exception& exception) {
        return exception.error();
    }
}

Result<FrameSocket> FrameSocket::accept(
    SocketHandle handle, const std::string& node, const std::string& fleetKey, Duration limit)
{
    try {
        FrameSocket socket(std::move(handle), "accepted connection", PeerSide::Server, fleetKey, limit);
        socket.exchangeHello(node);
        return socket;
    } catch (const Exception& exception) {
        return exception.error();
    }
}

void FrameSocket::exchangeHello(const std::string& node)
{
    // The client's Hello is authenticated before both nonces are known; the server's covers the client's nonce. From
    // then on every frame covers both.
    const auto ownNonce = randomBytes(nonceBytes);
    const auto acceptPeer = [&](std::string& peerNonce) {
        const auto message = receive();
        const auto* hello = std::get_if<HelloMessage>(&message);
        if (!hello || hello->nonce.size() != nonceBytes)
            fail(ErrorKind::Unauthorized, "peer.hello", "the first message is not a valid Hello");
        peerNonce = hello->nonce;
        m_peerNode = hello->node;
    };
    if (m_side == PeerSide::Client) {
        send(HelloMessage { node, ownNonce });
        m_clientNonce = ownNonce;
        acceptPeer(m_serverNonce);
    } else {
        acceptPeer(m_clientNonce);
        send(HelloMessage { node, ownNonce });
        m_serverNonce = ownNonce;
    }
}

void FrameSocket::send(const PeerMessage& message)
{
    const auto body = encodePeerMessage(message);
    if (body.size() > maxFrameBytes)
        fail(ErrorKind::LimitExceeded, "peer.send", "the message is larger than a frame");
    sendAll(encodeLength(static_cast<uint32_t>(body.size())) + authenticationCode(m_side, m_sent++, body) + body);
}

PeerMessage FrameSocket::receive()
{
    const auto head = receiveExactly(lengthBytes + codeBytes);
    const auto length = decodeLength(head);
    if (length > maxFrameBytes)
        fail(ErrorKind::LimitExceeded, "peer.receive", "the frame is longer than the limit");
    const auto body = receiveExactly(length);
    const auto sender = m_side == PeerSide::Client ? PeerSide::Server : PeerSide::Client;
    if (!equalsConstantTime(authenticationCode(sender, m_received++, body), std::string_view(head).substr(lengthBytes)))
        fail(ErrorKind::Unauthorized, "peer.receive", "the frame's authentication code is wrong");
    return decodePeerMessage(body);
}

std::string FrameSocket::authenticationCode(PeerSide sender, uint64_t number, const std::string& body) const
{
    std::string covered;
    covered += sender == PeerSide::Client ? 'c' : 's';
    covered += std::to_string(number) + ";" + std::to_string(m_clientNonce.size()) + ";" + m_clientNonce
        + std::to_string(m_serverNonce.size()) + ";" + m_serverNonce + body;
    return hmacSha256(m_fleetKey, covered);
}

void FrameSocket::sendAll(const std::string& bytes)
{
    const auto deadline = monotonicNow() + m_limit;
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
    const auto deadline = monotonicNow() + m_limit;
    std::string bytes(count, '\0');
    size_t received = 0;
    while (received < count) {
        const auto result = ::recv(m_handle.descriptor(), bytes.data() + received, count - received, MSG_DONTWAIT);
        if (result > 0)
            received += static_cast<size_t>(result);
        else if (result == 0)
            fail(ErrorKind::Unavailable, "peer.receive", "the connection was closed");
        else if (errno == EAGAIN || errno == EWOULDBLOCK)
            waitUntilReady(POLLIN, deadline);
        else if (errno != EINTR)
            fail(ErrorKind::Unavailable, "peer.receive", std::strerror(errno));
    }
    return bytes;
}

void FrameSocket::waitUntilReady(short events, TimePoint deadline) const
{
    const auto left = toMilliseconds(deadline - monotonicNow());
    pollfd entry { m_handle.descriptor(), events, 0 };
    if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left)) <= 0)
        fail(ErrorKind::Timeout, "peer.wait", "no progress within the time limit");
}

void FrameSocket::fail(ErrorKind kind, const std::string& step, const std::string& message) const
{
    throw Exception({ kind, step, m_peerNode.empty() ? m_peerAddress : m_peerNode, message });
}

} // namespace cyclamenstair
