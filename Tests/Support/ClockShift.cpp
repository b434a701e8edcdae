#include <cerrno>
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <dlfcn.h>
#include <fcntl.h>
#include <sys/mman.h>
#include <sys/time.h>
#include <unistd.h>

// Linked into a process: shifts its time of day by the number of seconds that the file at CYCLAMENSTAIR_TEST_CLOCK
// holds as a signed integer of 64 bits, like a step of the machine's clock. A change of the file takes effect at once.
// Other clocks and waits are as they are.

namespace {

constexpr int64_t microsecondsPerSecond = 1'000'000;

/// Returns the mapped file, or null if there is none.
const volatile int64_t* mapShift()
{
    const char* path = std::getenv("CYCLAMENSTAIR_TEST_CLOCK");
    const int descriptor = path != nullptr ? ::open(path, O_RDONLY | O_CLOEXEC) : -1;
    if (descriptor < 0)
        return nullptr;
    void* address = ::mmap(nullptr, sizeof(int64_t), PROT_READ, MAP_SHARED, descriptor, 0);
    ::close(descriptor);
    return address == MAP_FAILED ? nullptr : static_cast<const volatile int64_t*>(address);
}

int64_t shiftSeconds()
{
    static const volatile int64_t* const s_shift = mapShift();
    return s_shift != nullptr ? *s_shift : 0;
}

} // namespace

extern "C" int clock_gettime(clockid_t clock, timespec* time) noexcept
{
    using Function = int (*)(clockid_t, timespec*);
    static const auto s_next = reinterpret_cast<Function>(::dlsym(RTLD_NEXT, "clock_gettime"));
    const int result = s_next(clock, time);
    if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE))
        time->tv_sec += shiftSeconds();
    return result;
}

extern "C" int gettimeofday(timeval* __restrict time, void* __restrict) noexcept
{
    timespec now {};
    const int result = clock_gettime(CLOCK_REALTIME, &now);
    time->tv_sec = now.tv_sec;
    time->tv_usec = now.tv_nsec * microsecondsPerSecond / 1'000'000'000;
    return result;
}

extern "C" time_t time(time_t* result) noexcept
{
    timespec now {};
    clock_gettime(CLOCK_REALTIME, &now);
    if (result != nullptr)
        *result = now.tv_sec;
    return now.tv_sec;
}
