#include <Cyclamenstair/Transport/AttemptThreads.h>

namespace cyclamenstair {

AttemptThreads::~AttemptThreads()
{
    {
        std::lock_guard lock(m_mutex);
        m_isStopping = true;
        m_posted.notify_all();
    }
    for (auto& thread : m_threads)
        thread.join();
}

void AttemptThreads::post(std::function<void()> task)
{
    std::lock_guard lock(m_mutex);
    m_tasks.push_back(std::move(task));
    if (m_idle < m_tasks.size())
        m_threads.emplace_back([this] { run(); });
    else
        m_posted.notify_one();
}

void AttemptThreads::run()
{
    std::unique_lock lock(m_mutex);
    for (;;) {
        ++m_idle;
        m_posted.wait(lock, [this] { return m_isStopping || !m_tasks.empty(); });
        --m_idle;
        if (m_tasks.empty())
            return;
        auto task = std::move(m_tasks.front());
        m_tasks.pop_front();
        lock.unlock();
        task();
        // What the task holds is released without the lock.
        task = nullptr;
        lock.lock();
    }
}

} // namespace cyclamenstair
