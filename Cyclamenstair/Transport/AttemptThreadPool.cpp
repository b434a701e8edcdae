#include <Cyclamenstair/Transport/AttemptThreadPool.h>

namespace cyclamenstair {

AttemptThreadPool::~AttemptThreadPool()
{
    {
        std::lock_guard lock(m_mutex);
        m_isStopping = true;
        m_taskAvailable.notify_all();
    }
    for (auto& thread : m_threads)
        thread.join();
}

void AttemptThreadPool::post(std::function<void()> task)
{
    std::lock_guard lock(m_mutex);
    m_tasks.push_back(std::move(task));
    if (m_idleThreads < m_tasks.size())
        m_threads.emplace_back([this] { runTasks(); });
    else
        m_taskAvailable.notify_one();
}

void AttemptThreadPool::runTasks()
{
    std::unique_lock lock(m_mutex);
    for (;;) {
        ++m_idleThreads;
        m_taskAvailable.wait(lock, [this] { return m_isStopping || !m_tasks.empty(); });
        --m_idleThreads;
        if (m_tasks.empty())
            return;
        auto task = std::move(m_tasks.front());
        m_tasks.pop_front();
        lock.unlock();
        task();
        // Destroys the captured objects without holding the lock.
        task = nullptr;
        lock.lock();
    }
}

} // namespace cyclamenstair
