#pragma once

#include <utility>

#include <Cyclamenstair/Core/Time.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace cyclamenstair {

/// Connection between two nodes that carries frames in both directions: a length of 4 bytes in network order and the
/// content. Belongs to one event loop. Handlers of asynchronous operations outlive their owner, hence the shared
/// ownership.
class FrameChannel : public std::enable_shared_from_this<FrameChannel> {
public:
    struct Handlers {
        std::function<void(const std::shared_ptr<FrameChannel>&, const std::string&)> onFrame;
        std::function<void()> onClosed; ///< Called once, not after close().
    };

    /// Longest frame; it holds a snapshot of the store's largest value and the targets' entries.
    static constexpr uint32_t maxFrameBytes = 4 << 20;

    FrameChannel(boost::asio::ip::tcp::socket socket, Handlers handlers);

    /// Connects and begins to read.
    void connect(const boost::asio::ip::tcp::endpoint& peer);

    /// Begins to read from an accepted connection.
    void start();

    /// Queues a frame. A peer that does not read loses frames rather than filling this node's memory.
    void send(const std::string& content);

    void close();

    bool isOpen() const { return m_isOpen; }
    bool isClosed() const { return m_isClosed; }

private:
    void readHeader();
    void readContent(uint32_t length);
    void write();
    void fail();

    /// Bytes that may wait for a peer that does not read.
    static constexpr size_t maxQueuedBytes = 2 * size_t { maxFrameBytes };
    static constexpr Duration connectTimeout = milliseconds(700);
    static constexpr Duration silence = milliseconds(3000);

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    Handlers m_handlers;
    std::array<unsigned char, 4> m_header {};
    std::string m_content;
    std::string m_queue;
    std::string m_writing;
    bool m_isOpen { false };
    bool m_isClosed { false };
};

} // namespace cyclamenstair
