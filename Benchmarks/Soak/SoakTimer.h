#pragma once

#include <Cyclamenstair/Core/Time.h>

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace cyclamenstair {

/// Runs actions at their times in one thread, more precisely than the soak's ticks. Thread-safe.
class SoakTimer {
public:
    SoakTimer();
    ~SoakTimer();
    SoakTimer(const SoakTimer&) = delete;
    SoakTimer& operator=(const SoakTimer&) = delete;

    void schedule(TimePoint at, std::function<void()> action);

    /// Waits for the action that runs now and drops all others.
    void stop();

private:
    void run();

    std::mutex m_mutex; ///< Guards the members below.
    std::condition_variable m_changed;
    std::multimap<TimePoint, std::function<void()>> m_actions;
    bool m_isStopped { false };
    std::thread m_thread;
};

} // namespace cyclamenstair
