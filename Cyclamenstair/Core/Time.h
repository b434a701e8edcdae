#pragma once

#include <chrono>
#include <ctime>

namespace cyclamenstair {

/// Duration in microseconds.
using Duration = std::chrono::microseconds;

/// Point in time of the monotonic clock. Decision libraries receive it as an argument and never read a clock.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Returns the current time of the monotonic clock. Only code that performs I/O calls this function.
inline TimePoint monotonicNow() { return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()); }

/// Returns the current time of a monotonic clock that, unlike monotonicNow(), advances while the machine is suspended.
inline TimePoint suspendAwareNow()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::duration_cast<Duration>(
        std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

/// Returns a Duration of `count` milliseconds.
constexpr Duration milliseconds(int64_t count) { return std::chrono::milliseconds(count); }

/// Converts a Duration to seconds.
constexpr double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

/// Converts a Duration to milliseconds, truncated towards zero.
constexpr int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace cyclamenstair
