#pragma once

#include <atomic>
#include <cstdint>

namespace cyclamenstair {

/// Threads whose allocations fail.
enum class FailingThreads : uint8_t {
    None,
    Current, ///< Those with `isTestThread`.
    Others,
};

/// Read by the allocation function of the test program, which throws std::bad_alloc on these threads.
extern std::atomic<FailingThreads> failingThreads;
extern thread_local bool isTestThread;

} // namespace cyclamenstair
