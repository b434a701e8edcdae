#pragma once

#include <array>
#include <cstddef>

namespace cyclamenstair {

/// Writes the line `process_ended` when a signal or std::terminate ends the process, and then lets it end as before,
/// with the same exit status and core dump. Does not replace handlers that are already installed, for example by a
/// preloaded library, and leaves SIGSYS alone, which such libraries use. Does nothing in builds with sanitizers, which
/// have handlers of their own.
///
/// The line of a signal has the fields `signal`, `code` (si_code), `address` (of the fault), `sender` (pid, if a
/// process sent it), `thread`, `pc` (program counter), `lr` (link register, arm64 only), `load_base` of the executable
/// or shared library that contains this code, and `stack`: words of the stack that may be return addresses into it, the
/// innermost first. `addr2line -e FILE -fC` resolves an address minus `load_base`.
void installFatalSignalHandlers();

/// Memory for the handlers of fatal signals on the current thread, so that a stack overflow is reported, too. Belongs
/// on the stack of the function that the thread runs. Does nothing if the thread has an alternate stack already.
class AlternateSignalStack {
public:
    AlternateSignalStack();
    ~AlternateSignalStack();
    AlternateSignalStack(const AlternateSignalStack&) = delete;
    AlternateSignalStack& operator=(const AlternateSignalStack&) = delete;

private:
    /// The registers that the kernel saves take up to 12 KiB of it.
    std::array<std::byte, size_t { 32 } * 1024> m_memory;
    bool m_isInstalled { false };
};

} // namespace cyclamenstair
