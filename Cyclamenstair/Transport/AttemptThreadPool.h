#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace cyclamenstair {

/// Thread pool for the HTTP exchanges with targets. A task never waits for another one: the pool adds a thread when all
/// are busy, so that its size is the highest number of concurrent exchanges so far. Thread-safe.
class AttemptThreadPool {
public:
    AttemptThreadPool() = default;

    /// Runs the remaining tasks and joins all threads.
    ~AttemptThreadPool();
    AttemptThreadPool(const AttemptThreadPool&) = delete;
    AttemptThreadPool& operator=(const AttemptThreadPool&) = delete;

    /// Runs `task` on a thread of the pool.
    void post(std::function<void()> task);

private:
    void runTasks();

    std::mutex m_mutex;
    std::condition_variable m_taskAvailable;
    std::deque<std::function<void()>> m_tasks;
    std::vector<std::thread> m_threads;
    size_t m_idleThreads { 0 };
    bool m_isStopping { false };
};

} // namespace cyclamenstair
