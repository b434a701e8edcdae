#pragma once

#include <utility>

#include <Cyclamenstair/Core/Time.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <thread>

namespace cyclamenstair {

/// A thread that runs the handlers of an io_context. Objects that belong to a loop may only be used on its thread;
/// other threads access them through post().
class EventLoop {
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    void start();

    /// Stops and joins the thread. Handlers that have not run are dropped.
    void stop();

    /// Queues the function to run on the loop's thread. Callable from any thread.
    void post(std::function<void()> function);

    boost::asio::io_context& context() { return m_context; }

private:
    void run();

    boost::asio::io_context m_context { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

} // namespace cyclamenstair
