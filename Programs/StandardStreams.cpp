#include <Programs/StandardStreams.h>

#include <array>
#include <csignal>

namespace cyclamenstair {

void ignoreOutputSignals()
{
    for (const int number : std::array { SIGPIPE, SIGXFSZ, SIGTTOU })
        signal(number, SIG_IGN);
}

} // namespace cyclamenstair
