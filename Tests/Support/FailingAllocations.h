#pragma once

#include <atomic>
#include <cstddef>
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

/// Lets one allocation of the current thread fail: the one after `allocationsBefore` others.
void failAllocation(size_t allocationsBefore);

/// The same for each thread that starts until endFailingAllocationsOfNewThreads().
void failAllocationOfNewThreads(size_t allocationsBefore);
void endFailingAllocationsOfNewThreads();

/// Ends failAllocation() on the current thread. Returns whether the allocation has failed.
bool endFailingAllocation();

} // namespace cyclamenstair
