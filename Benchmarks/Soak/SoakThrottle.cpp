#include <Benchmarks/Soak/SoakThrottle.h>

#include <Benchmarks/Soak/ProcessorTime.h>

#include <algorithm>
#include <csignal>
#include <stdexcept>
#include <string>
#include <unistd.h>
#include <utility>

// The header of glibc 2.36 does not declare its functions as C functions itself.
extern "C" {
#include <sys/pidfd.h>
}

namespace cyclamenstair {

namespace {

    /// Shortest time between two checks of a process.
    constexpr auto minCheckInterval = milliseconds(1);

    /// Threads of a process that are expected to run at once at most. More of them use more than the allotment, which
    /// the next periods make up for.
    constexpr int maxRunningThreads = 4;

} // namespace

SoakThrottle::Handle::Handle(pid_t process)
    : m_process(process)
    , m_descriptor(::pidfd_open(process, 0))
{
    if (m_descriptor < 0)
        throw std::runtime_error("cannot limit process " + std::to_string(process));
}

SoakThrottle::Handle::Handle(Handle&& other) noexcept
    : m_process(other.m_process)
    , m_descriptor(std::exchange(other.m_descriptor, -1))
{
}

SoakThrottle::Handle::~Handle()
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
}

void SoakThrottle::Handle::sendSignal(int number) const { ::pidfd_send_signal(m_descriptor, number, nullptr, 0); }

std::optional<Duration> SoakThrottle::Handle::processorTime() const
{
    const auto time = processorTimeOf(m_process);
    // Fails once the process has been waited for, after which another process may have its id.
    return ::pidfd_send_signal(m_descriptor, 0, nullptr, 0) == 0 ? time : std::nullopt;
}

SoakThrottle::SoakThrottle()
    : m_thread([this] { run(); })
{
}

SoakThrottle::~SoakThrottle()
{
    {
        std::lock_guard lock(m_mutex);
        m_isOver = true;
    }
    m_changed.notify_one();
    m_thread.join();
    while (!m_processes.empty())
        remove(m_processes.begin()->first);
}

void SoakThrottle::add(pid_t process, double share)
{
    Handle handle(process);
    const auto now = monotonicNow();
    const ProcessorAllotment allotment(share, now, handle.processorTime().value_or(Duration::zero()));
    {
        std::lock_guard lock(m_mutex);
        // An entry of an ended process with the same id is replaced.
        m_processes.erase(process);
        m_processes.emplace(process, Process { std::move(handle), allotment, false, false, now });
    }
    m_changed.notify_one();
}

void SoakThrottle::remove(pid_t process)
{
    std::lock_guard lock(m_mutex);
    const auto entry = m_processes.find(process);
    if (entry == m_processes.end())
        return;
    if (entry->second.isStopped && !entry->second.isFrozen)
        entry->second.handle.sendSignal(SIGCONT);
    m_processes.erase(entry);
}

void SoakThrottle::freeze(pid_t process)
{
    std::lock_guard lock(m_mutex);
    const auto entry = m_processes.find(process);
    if (entry == m_processes.end())
        return;
    entry->second.isFrozen = true;
    entry->second.handle.sendSignal(SIGSTOP);
}

void SoakThrottle::thaw(pid_t process)
{
    {
        std::lock_guard lock(m_mutex);
        const auto entry = m_processes.find(process);
        if (entry == m_processes.end())
            return;
        auto& thawed = entry->second;
        thawed.isFrozen = false;
        thawed.isStopped = false;
        thawed.checkAt = monotonicNow();
        thawed.handle.sendSignal(SIGCONT);
    }
    m_changed.notify_one();
}

void SoakThrottle::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_isOver) {
        const auto now = monotonicNow();
        auto next = now + ProcessorAllotment::period;
        for (auto entry = m_processes.begin(); entry != m_processes.end();) {
            auto& process = entry->second;
            if (process.checkAt <= now && !check(process, now)) {
                entry = m_processes.erase(entry);
                continue;
            }
            next = std::min(next, process.checkAt);
            ++entry;
        }
        if (m_processes.empty())
            m_changed.wait(lock);
        else
            m_changed.wait_until(lock, next);
    }
}

bool SoakThrottle::check(Process& process, TimePoint now)
{
    const auto used = process.handle.processorTime();
    if (!used)
        return false;
    auto& allotment = process.allotment;
    allotment.update(now, *used);
    process.checkAt = allotment.periodEnd();
    if (process.isFrozen)
        return true;
    const bool isUsedUp = allotment.remaining() == Duration::zero();
    if (process.isStopped != isUsedUp)
        process.handle.sendSignal(isUsedUp ? SIGSTOP : SIGCONT);
    process.isStopped = isUsedUp;
    if (!isUsedUp)
        process.checkAt = std::min(
            process.checkAt, now + std::max<Duration>(allotment.remaining() / maxRunningThreads, minCheckInterval));
    return true;
}

} // namespace cyclamenstair
