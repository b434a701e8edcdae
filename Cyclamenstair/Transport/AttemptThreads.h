#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace cyclamenstair {

/// Threads that run the exchanges with targets. A task never waits for another one: a thread is added when all are
/// busy, so that there are as many threads as there were exchanges at once. Callable from many threads.
class AttemptThreads {
public:
    AttemptThreads() = default;

    /// Runs the tasks that were posted and joins all threads.
    ~AttemptThreads();
    AttemptThreads(const AttemptThreads&) = delete;
    AttemptThreads& operator=(const AttemptThreads&) = delete;

    void post(std::function<void()> task);

private:
    void run();

    std::mutex m_mutex;
    std::condition_variable m_posted;
    std::deque<std::function<void()>> m_tasks;
    std::vector<std::thread> m_threads;
    size_t m_idle { 0 };
    bool m_isStopping { false };
};

} // namespace cyclamenstair
