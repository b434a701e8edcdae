#include <Programs/StandardStreams.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <unistd.h>

namespace cyclamenstair {

namespace {

    void replaceClosedDescriptors(int, char**, char**)
    {
        for (int descriptor = STDIN_FILENO; descriptor <= STDERR_FILENO; ++descriptor) {
            if (::fcntl(descriptor, F_GETFD) >= 0 || errno != EBADF)
                continue;
            // The lowest free number is taken, which is this one. Without /dev, a folder that cannot be read or written
            // takes its place.
            if (::open("/dev/null", O_RDWR) < 0)
                (void)::open("/", O_RDONLY | O_DIRECTORY);
        }
    }

    [[gnu::section(".preinit_array"), gnu::used]] void (*earlyInitializer)(int, char**, char**)
        = replaceClosedDescriptors;

} // namespace

void ignoreOutputSignals()
{
    for (const int number : std::array { SIGPIPE, SIGXFSZ, SIGTTOU })
        signal(number, SIG_IGN);
}

} // namespace cyclamenstair
