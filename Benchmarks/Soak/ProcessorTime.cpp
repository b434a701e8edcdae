#include <Benchmarks/Soak/ProcessorTime.h>

#include <ctime>

namespace cyclamenstair {

std::optional<Duration> processorTimeOf(pid_t process)
{
    clockid_t clock {};
    timespec time {};
    if (::clock_getcpuclockid(process, &clock) != 0 || ::clock_gettime(clock, &time) != 0)
        return std::nullopt;
    return std::chrono::duration_cast<Duration>(
        std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace cyclamenstair
