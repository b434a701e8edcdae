#include <Programs/Daemon.h>
#include <Programs/HandledSignals.h>

#include <bit>
#include <cerrno>
#include <climits>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <dlfcn.h>
#include <fcntl.h>
#include <pthread.h>
#include <sys/auxv.h>
#include <unistd.h>

// This program links libc only. Until the signals are blocked, SIGHUP ends the process, and the dynamic loader takes
// several times as long for the daemon's libraries as for libc alone. So they are loaded afterwards.

namespace {

constexpr auto daemonLibrary = "libcyclamenstaird.so"; ///< Beside this program, or in ../lib once installed.

/// Blocks the signals that the daemon handles in this thread and all threads started later. They are handled once the
/// node has started.
void blockSignals()
{
    const auto signals = cyclamenstair::handledSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

/// Replaces closed standard descriptors by /dev/null. Otherwise the first sockets get these numbers, and lines of the
/// log are written into connections.
void replaceClosedDescriptors()
{
    for (int descriptor = STDIN_FILENO; descriptor <= STDERR_FILENO; ++descriptor) {
        if (fcntl(descriptor, F_GETFD) >= 0 || errno != EBADF)
            continue;
        // The lowest free number is taken, which is this one. Without /dev, a folder that cannot be read or written
        // takes its place.
        if (open("/dev/null", O_RDWR) < 0)
            (void)open("/", O_RDONLY | O_DIRECTORY);
    }
}

void prepareProcess(int, char**, char**)
{
    blockSignals();
    replaceClosedDescriptors();
}

// Runs before the constructors of all libraries.
[[gnu::section(".preinit_array"), gnu::used]] void (*earlyInitializer)(int, char**, char**) = prepareProcess;

/// Returns the daemon's library, or null.
void* loadDaemonLibrary()
{
    if (auto* const library = dlopen(daemonLibrary, RTLD_LAZY))
        return library;
    // The loader looks in the folder of the file that /proc/self/exe names: none without /proc, and another one if the
    // program is a symbolic link. The library is also beside the path by which the program was started.
    const auto* const program = std::bit_cast<const char*>(getauxval(AT_EXECFN));
    const auto* const slash = program ? std::strrchr(program, '/') : nullptr;
    if (!slash)
        return nullptr;
    char path[PATH_MAX];
    const int length
        = std::snprintf(path, sizeof(path), "%.*s/%s", static_cast<int>(slash - program), program, daemonLibrary);
    return length > 0 && static_cast<size_t>(length) < sizeof(path) ? dlopen(path, RTLD_LAZY) : nullptr;
}

} // namespace

int main(int argc, char** argv)
{
    auto* const library = loadDaemonLibrary();
    auto* const symbol = library ? dlsym(library, runDaemonSymbol) : nullptr;
    if (!symbol) {
        std::fprintf(stderr, "cyclamenstaird: %s\n", dlerror());
        return EXIT_FAILURE;
    }
    return reinterpret_cast<decltype(&runDaemon)>(symbol)(argc, argv);
}
