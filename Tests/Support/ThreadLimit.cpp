#include <atomic>
#include <cerrno>
#include <cstdlib>
#include <dlfcn.h>
#include <pthread.h>

// Linked into a process: fails to create further threads once as many as CYCLAMENSTAIR_TEST_THREADS names were created,
// like a system that has reached its limit of threads.
extern "C" int pthread_create(
    pthread_t* thread, const pthread_attr_t* attributes, void* (*start)(void*), void* argument) noexcept
{
    static std::atomic<int> s_created { 0 };
    using Create = int (*)(pthread_t*, const pthread_attr_t*, void* (*)(void*), void*);
    static const auto s_create = reinterpret_cast<Create>(::dlsym(RTLD_NEXT, "pthread_create"));
    const char* limit = std::getenv("CYCLAMENSTAIR_TEST_THREADS");
    if (limit != nullptr && ++s_created > std::atoi(limit))
        return EAGAIN;
    return s_create(thread, attributes, start, argument);
}
