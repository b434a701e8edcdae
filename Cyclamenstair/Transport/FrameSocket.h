#pragma once

#include <Cyclamenstair/Codec/PeerMessages.h>
#include <Cyclamenstair/Core/Result.h>
#include <Cyclamenstair/Core/Time.h>

#include <cstdint>
#include <string>

namespace cyclamenstair {

/// Owner of a socket's file descriptor.
class SocketHandle {
public:
    SocketHandle() = default;
    explicit SocketHandle(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    SocketHandle(SocketHandle&& other) noexcept
        : m_descriptor(other.release())
    {
    }
    SocketHandle& operator=(SocketHandle&& other) noexcept;
    SocketHandle(const SocketHandle&) = delete;
    SocketHandle& operator=(const SocketHandle&) = delete;
    ~SocketHandle();

    int descriptor() const { return m_descriptor; }
    int release();

private:
    int m_descriptor { -1 };
};

/// Side of a connection between nodes.
enum class PeerSide : uint8_t {
    Client,
    Server,
};

/// Connection between two nodes that carries authenticated frames.
///
/// Each frame is a 4-byte length in network order, an HMAC-SHA256 by the fleet key and an encoded Envelope. The code
/// covers both sides' nonces, the sender's side and the frame's number, so that a frame cannot be replayed in any
/// connection or order. An instance is used by one thread at a time.
class FrameSocket {
public:
    static constexpr uint32_t maxFrameBytes = (1 << 20) + (64 << 10);

    /// Connects to "HOST:PORT" and exchanges Hello messages; `limit` bounds each blocking call.
    static Result<FrameSocket> connect(
        const std::string& address, const std::string& node, const std::string& fleetKey, Duration limit);

    /// Takes an accepted connection and exchanges Hello messages.
    static Result<FrameSocket> accept(
        SocketHandle handle, const std::string& node, const std::string& fleetKey, Duration limit);

    void send(const PeerMessage& message);
    PeerMessage receive();

    /// Id of the node at the other side, as authenticated by its Hello.
    const std::string& peerNode() const { return m_peerNode; }

private:
    FrameSocket(SocketHandle handle, std::string peerAddress, PeerSide side, std::string fleetKey, Duration limit);

    void exchangeHello(const std::string& node);
    std::string authenticationCode(PeerSide sender, uint64_t number, const std::string& body) const;
    void sendAll(const std::string& bytes);
    std::string receiveExactly(size_t count);
    void waitUntilReady(short events, TimePoint deadline) const;
    [[noreturn]] void fail(ErrorKind kind, const std::string& step, const std::string& message) const;

    SocketHandle m_handle;
    std::string m_peerAddress;
    std::string m_peerNode;
    PeerSide m_side;
    std::string m_fleetKey;
    Duration m_limit;
    std::string m_clientNonce;
    std::string m_serverNonce;
    uint64_t m_sent { 0 };
    uint64_t m_received { 0 };
};

} // namespace cyclamenstair
