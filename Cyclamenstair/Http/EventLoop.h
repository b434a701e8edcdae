#pragma once

#include <utility>

#include <Cyclamenstair/Core/Time.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <thread>

namespace cyclamenstair {

/// A thread that waits for sockets and timers and runs their handlers. Objects that belong to a loop are used on its
/// thread only; other threads reach them through post().
class EventLoop {
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    /// Starts the thread.
    void start();

    /// Ends the thread; handlers that have not run are dropped.
    void stop();

    /// Runs the function on the loop's thread.
    void post(std::function<void()> function);

    boost::asio::io_context& context() { return m_context; }

private:
    void run();

    boost::asio::io_context m_context { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

} // namespace cyclamenstair
