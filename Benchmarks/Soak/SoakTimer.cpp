#include <Benchmarks/Soak/SoakTimer.h>

namespace cyclamenstair {

SoakTimer::SoakTimer()
    : m_thread([this] { run(); })
{
}

SoakTimer::~SoakTimer() { stop(); }

void SoakTimer::schedule(TimePoint at, std::function<void()> action)
{
    {
        std::lock_guard lock(m_mutex);
        m_actions.emplace(at, std::move(action));
    }
    m_changed.notify_one();
}

void SoakTimer::stop()
{
    {
        std::lock_guard lock(m_mutex);
        m_isStopped = true;
    }
    m_changed.notify_one();
    if (m_thread.joinable())
        m_thread.join();
}

void SoakTimer::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopped) {
        if (m_actions.empty()) {
            m_changed.wait(lock);
            continue;
        }
        const auto first = m_actions.begin();
        if (first->first > monotonicNow()) {
            m_changed.wait_until(lock, first->first);
            continue;
        }
        const auto action = std::move(first->second);
        m_actions.erase(first);
        lock.unlock();
        action();
        lock.lock();
    }
}

} // namespace cyclamenstair
