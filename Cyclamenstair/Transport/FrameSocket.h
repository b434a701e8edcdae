#pragma once

#include <Cyclamenstair/Codec/PeerMessages.h>
#include <Cyclamenstair/Core/Result.h>
#include <Cyclamenstair/Core/Time.h>

#include <cstdint>
#include <string>

namespace cyclamenstair {

/// Owns the file descriptor of a socket.
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
    /// Gives up ownership and returns the descriptor.
    int release();

private:
    int m_descriptor { -1 };
};

/// Role of a node in a connection.
enum class PeerSide : uint8_t {
    Client,
    Server,
};

/// Connection between two nodes that carries authenticated frames.
///
/// Each frame is a 4-byte length in network byte order, an HMAC-SHA256 with the fleet key and an encoded Envelope. The
/// HMAC also covers the nonces of both sides, the sender's role and the frame number, so that a frame cannot be
/// replayed in another connection, direction or order. Used by one thread at a time.
class FrameSocket {
public:
    /// Maximum size of an encoded message, without the length and the HMAC.
    static constexpr uint32_t maxFrameBytes = (1 << 20) + (64 << 10);

    /// Connects to "IPV4:PORT" and exchanges Hello messages. `timeout` bounds the connect, each sent frame and
    /// each part (header, message) of a received frame.
    static Result<FrameSocket> connect(
        const std::string& address, const std::string& node, const std::string& fleetKey, Duration timeout);

    /// Takes ownership of an accepted connection and exchanges Hello messages.
    static Result<FrameSocket> accept(
        SocketHandle handle, const std::string& node, const std::string& fleetKey, Duration timeout);

    /// Sends a message; throws Exception on failure.
    void send(const PeerMessage& message);

    /// Waits for a message; throws Exception on failure.
    PeerMessage receive();

    /// Returns the id of the remote node from its authenticated Hello.
    const std::string& peerNode() const { return m_peerNode; }

private:
    FrameSocket(SocketHandle handle, std::string peerAddress, PeerSide side, std::string fleetKey, Duration timeout);

    void exchangeHello(const std::string& node);
    std::string authenticationCode(PeerSide sender, uint64_t frameNumber, const std::string& body) const;
    void sendAll(const std::string& bytes);
    std::string receiveExactly(size_t count);
    void waitUntilReady(short events, TimePoint deadline) const;
    [[noreturn]] void fail(ErrorKind kind, const std::string& step, const std::string& message) const;

    SocketHandle m_handle;
    std::string m_peerAddress;
    std::string m_peerNode;
    PeerSide m_side;
    std::string m_fleetKey;
    Duration m_timeout;
    std::string m_clientNonce;
    std::string m_serverNonce;
    uint64_t m_sentFrames { 0 };
    uint64_t m_receivedFrames { 0 };
};

} // namespace cyclamenstair
