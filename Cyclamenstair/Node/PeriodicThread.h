#pragma once

#include <Cyclamenstair/Core/Time.h>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace cyclamenstair {

/// Thread that calls a function periodically. Exceptions are logged as event `<name>_failed` and do not end the thread.
class PeriodicThread {
public:
    /// `step` returns the delay until its next call.
    PeriodicThread(std::string name, std::function<Duration()> step);
    ~PeriodicThread();

    /// Makes the next call of the function start without further delay.
    void wake();

    /// Stops the thread after the current call of the function. Also called by the destructor.
    void stop();

private:
    void run();

    std::string m_name;
    std::function<Duration()> m_step;
    std::mutex m_mutex;
    std::condition_variable m_wakeCondition;
    bool m_isStopping { false };
    bool m_isWakeRequested { false };
    std::thread m_thread;
};

} // namespace cyclamenstair
