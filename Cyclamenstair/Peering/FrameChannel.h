#pragma once

#include <utility>

#include <Cyclamenstair/Core/BufferBudget.h>
#include <Cyclamenstair/Core/Time.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace cyclamenstair {

/// Connection between two nodes that carries frames in both directions. A frame is a 4-byte length in network byte
/// order followed by the content. Used on the thread of one event loop only. Shared ownership keeps the channel alive
/// until its pending asynchronous operations have completed.
class FrameChannel : public std::enable_shared_from_this<FrameChannel> {
public:
    struct Handlers {
        std::function<void(const std::shared_ptr<FrameChannel>&, const std::string&)> onFrame;
        std::function<void()> onClosed; ///< Called once when the connection fails; not called after close().
    };

    /// Returns whether frames wait to be written.
    bool hasQueuedFrames() const { return !m_writeBuffer.empty() || !m_writeQueue.empty(); }

    /// Maximum frame content in bytes; a snapshot with the store's largest value and the entries of all targets fits.
    static constexpr uint32_t maxFrameBytes = 4 << 20;

    /// `buffers` bounds the frames that all channels buffer; a channel whose next frame exceeds it is closed.
    FrameChannel(boost::asio::ip::tcp::socket socket, Handlers handlers, BufferBudget* buffers = nullptr);

    /// Connects to `peer` and starts to read.
    void connect(const boost::asio::ip::tcp::endpoint& peer);

    /// Starts to read from an accepted connection.
    void start();

    /// Queues a frame. Drops it if the queue or the budget is full, so that a peer that does not read cannot exhaust
    /// this node's memory. Drops and logs a frame above maxFrameBytes, for which the peer would close the channel.
    void send(const std::string& content);

    void close();

    bool isOpen() const { return m_isOpen; }
    bool isClosed() const { return m_isClosed; }

private:
    /// Returns the handler with a guard that closes the channel, which would not be read again after an exception.
    template <typename Handler> auto closingOnFailure(Handler handler);
    /// Closes the socket; the channel closes when its pending read or connection attempt ends.
    void closeSocket();
    void readHeader();
    void onHeader();
    void onContent();
    void readContent(uint32_t length);
    void write();
    void onWritten(const boost::system::error_code& ec);
    size_t queuedBytes() const { return m_writeQueue.size() + m_writeBuffer.size(); }
    void fail();

    /// Maximum bytes queued for a peer that does not read.
    static constexpr size_t maxQueuedBytes = 2 * size_t { maxFrameBytes };
    static constexpr Duration connectTimeout = milliseconds(700);
    static constexpr Duration deadPeerTimeout = milliseconds(3000);

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    Handlers m_handlers;
    std::array<unsigned char, 4> m_header {};
    std::string m_content;
    BufferShare m_readShare;
    BufferShare m_writeShare;
    std::string m_writeQueue;
    std::string m_writeBuffer;
    bool m_isOpen { false };
    bool m_isClosed { false };
};

} // namespace cyclamenstair
