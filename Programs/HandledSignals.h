#pragma once

#include <csignal>
#include <initializer_list>

namespace cyclamenstair {

/// Returns the signals that the daemon waits for in its main thread.
inline sigset_t handledSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int signal : { SIGTERM, SIGINT, SIGHUP })
        sigaddset(&signals, signal);
    return signals;
}

} // namespace cyclamenstair
