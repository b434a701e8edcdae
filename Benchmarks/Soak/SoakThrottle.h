#pragma once

#include <Benchmarks/Soak/ProcessorAllotment.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <sys/types.h>
#include <thread>

namespace cyclamenstair {

/// Limits processes to their shares of a processor core by stopping and continuing them (SIGSTOP, SIGCONT). One thread
/// serves all processes and sleeps until one of them can have used up its allotment. Thread-safe.
class SoakThrottle {
public:
    SoakThrottle();
    /// Continues the processes that the throttle has stopped.
    ~SoakThrottle();
    SoakThrottle(const SoakThrottle&) = delete;
    SoakThrottle& operator=(const SoakThrottle&) = delete;

    /// Limits a process to `share` of a core until it ends or is removed. Throws std::runtime_error if the process does
    /// not exist.
    void add(pid_t process, double share);

    /// Ends the limit, and continues the process if the throttle has stopped it. No effect on other processes.
    void remove(pid_t process);

    /// Stops a process of the throttle, whatever its allotment, until thaw() is called.
    void freeze(pid_t process);
    void thaw(pid_t process);

private:
    /// Refers to a process, also if another one gets its id after its end.
    class Handle {
    public:
        explicit Handle(pid_t process);
        ~Handle();
        Handle(Handle&& other) noexcept;
        Handle& operator=(Handle&&) = delete;

        /// Has no effect on a process that has ended.
        void sendSignal(int number) const;

        /// Returns the processor time of all threads, or no value if the process has ended.
        std::optional<Duration> processorTime() const;

    private:
        pid_t m_process;
        int m_descriptor { -1 };
    };

    struct Process {
        Handle handle;
        ProcessorAllotment allotment;
        bool isFrozen { false };
        bool isStopped { false }; ///< By the throttle.
        TimePoint checkAt {};
    };

    void run();
    /// Stops or continues the process as its allotment asks. Returns false if it has ended.
    static bool check(Process& process, TimePoint now);

    std::mutex m_mutex; ///< Guards the members below.
    std::condition_variable m_changed;
    std::map<pid_t, Process> m_processes;
    bool m_isOver { false };
    std::thread m_thread;
};

} // namespace cyclamenstair
