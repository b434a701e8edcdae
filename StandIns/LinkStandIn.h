#pragma once

#include <Cyclamenstair/Core/EnumNames.h>
#include <Cyclamenstair/Http/EventLoop.h>

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenstair {

/// What a link does with connections.
enum class LinkMode : uint8_t {
    Pass, ///< Forwards all bytes.
    Hang, ///< Open connections stay and carry nothing, attempts to connect get no reply. Bytes sent meanwhile arrive
          ///< after the cut, as TCP's retransmissions do, unless the node's system has given up.
    Reset, ///< Open connections are reset, new ones are refused.
    Refuse, ///< Open connections go on, new ones are refused.
};

template <> struct EnumNames<LinkMode> {
    static constexpr auto table = std::to_array<EnumName<LinkMode>>({
        { LinkMode::Pass, "pass" },
        { LinkMode::Hang, "hang" },
        { LinkMode::Reset, "reset" },
        { LinkMode::Refuse, "refuse" },
    });
};

/// Simulated network path from a node to one target: a TCP proxy on the loopback address that can be cut. Keeps at most
/// `maxConnections` connections open; further ones are reset. A connection that the target refuses is accepted
/// and then reset. Runs on its own event loop, or on one that it shares with other links. Thread-safe.
class LinkStandIn {
public:
    static constexpr size_t maxConnections = 512;
    /// Time after which the node's system gives up a connection with unacknowledged bytes and drops these. Equals
    /// ClientConnectionSettings::deadPeerTimeout.
    static constexpr Duration maxHeldTime = milliseconds(3000);

    /// `targetAddress` is an IP:PORT. Throws Exception if it is malformed, boost::system::system_error if the link
    /// cannot listen.
    explicit LinkStandIn(const std::string& targetAddress);
    /// Runs on a loop that outlives the link and is stopped before its destruction.
    LinkStandIn(const std::string& targetAddress, EventLoop& sharedLoop);
    ~LinkStandIn();
    LinkStandIn(const LinkStandIn&) = delete;
    LinkStandIn& operator=(const LinkStandIn&) = delete;

    /// Returns the address as IP:PORT that stands for the target's.
    std::string address() const { return m_address; }

    /// Sets the mode and returns when it is in force. Not to be called on the link's event loop.
    void setMode(LinkMode mode);

private:
    using Socket = boost::asio::ip::tcp::socket;

    /// Result of a read that completed while the link hung.
    struct HeldRead {
        boost::system::error_code ec;
        size_t size { 0 };
        TimePoint at;
    };
    /// Bytes on their way from one socket of a connection to the other.
    struct Direction {
        std::array<char, 16384> buffer {};
        std::optional<HeldRead> held {};
        bool hasEnded { false };
    };
    struct Connection {
        explicit Connection(Socket acceptedSocket);

        std::array<Socket, 2> sockets; ///< Of the node and of the target.
        std::array<Direction, 2> directions {}; ///< Index: the socket that is read.
    };
    /// Shared with the handlers of pending operations, which may run after the connection has been closed.
    using ConnectionPointer = std::shared_ptr<Connection>;

    LinkStandIn(const std::string& targetAddress, std::unique_ptr<EventLoop> ownLoop, EventLoop* sharedLoop);

    void apply(LinkMode mode);
    /// Opens the listening socket if it is closed, and sets the length of its queue for the mode.
    void listen();
    void accept();
    /// Fills the queue of connections that wait to be accepted, after which the system drops attempts to connect.
    void fillAcceptQueue();
    void open(Socket accepted);
    void read(const ConnectionPointer& connection, size_t from);
    /// Passes on the result of a read: bytes, the end of the stream or a reset.
    void forward(const ConnectionPointer& connection, size_t from, const boost::system::error_code& ec, size_t size);
    void reset(const ConnectionPointer& connection);

    boost::asio::ip::tcp::endpoint m_target;
    std::string m_address;
    std::unique_ptr<EventLoop> m_ownLoop; ///< Null if the loop is shared.
    EventLoop* m_loop;
    // The members below are used on the event loop only.
    LinkMode m_mode { LinkMode::Pass };
    boost::asio::ip::tcp::acceptor m_acceptor;
    bool m_isAccepting { false };
    std::vector<Socket> m_queueFillers;
    std::vector<ConnectionPointer> m_connections;
};

} // namespace cyclamenstair
