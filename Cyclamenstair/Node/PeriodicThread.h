#pragma once

#include <Cyclamenstair/Core/Time.h>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace cyclamenstair {

/// Thread that calls a function again and again with a pause in between. Exceptions are logged and do not end the
/// thread.
class PeriodicThread {
public:
    /// `step` returns the pause before its next call.
    PeriodicThread(std::string name, std::function<Duration()> step);
    ~PeriodicThread();

    /// Ends the present pause early.
    void wake();

    /// Ends the thread after the present call of the function; called by the destructor as well.
    void stop();

private:
    void run();

    std::string m_name;
    std::function<Duration()> m_step;
    std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    bool m_isStopping { false };
    bool m_isWoken { false };
    std::thread m_thread;
};

} // namespace cyclamenstair
