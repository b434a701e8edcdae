#include <csignal>

namespace {

/// Sends SIGHUP to the process that loads this library, before its main function runs.
struct SignalBeforeMain {
    SignalBeforeMain() { raise(SIGHUP); }
};

const SignalBeforeMain signalBeforeMain;

} // namespace
