#include <Cyclamenstair/Http/EventLoop.h>

#include <Cyclamenstair/Telemetry/FatalSignals.h>
#include <Cyclamenstair/Telemetry/HandlerFailures.h>

#include <boost/asio/post.hpp>

namespace cyclamenstair {

EventLoop::EventLoop()
    : m_work(boost::asio::make_work_guard(m_context))
{
}

EventLoop::~EventLoop() { stop(); }

void EventLoop::start()
{
    m_thread = std::thread([this] { run(); });
}

void EventLoop::stop()
{
    m_work.reset();
    m_context.stop();
    if (m_thread.joinable())
        m_thread.join();
}

void EventLoop::post(std::function<void()> function) { boost::asio::post(m_context, std::move(function)); }

void EventLoop::run()
{
    const AlternateSignalStack alternateStack;
    // An exception from one handler must not end the loop, which would drop all other connections.
    while (!m_context.stopped()) {
        try {
            m_context.run();
        } catch (...) {
            logHandlerFailure();
        }
    }
}

} // namespace cyclamenstair
