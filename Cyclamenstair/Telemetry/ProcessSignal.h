#pragma once

#include <Cyclamenstair/Core/EnumNames.h>

#include <csignal>

namespace cyclamenstair {

/// Signal that ends or stops a process, or makes it read its settings again.
enum class ProcessSignal : int {
    Hangup = SIGHUP,
    Interrupt = SIGINT,
    IllegalInstruction = SIGILL,
    Abort = SIGABRT,
    Bus = SIGBUS,
    FloatingPoint = SIGFPE,
    Segmentation = SIGSEGV,
    Terminate = SIGTERM,
    ProcessorTime = SIGXCPU,
};

template <> struct EnumNames<ProcessSignal> {
    static constexpr auto table = std::to_array<EnumName<ProcessSignal>>({
        { ProcessSignal::Hangup, "SIGHUP" },
        { ProcessSignal::Interrupt, "SIGINT" },
        { ProcessSignal::IllegalInstruction, "SIGILL" },
        { ProcessSignal::Abort, "SIGABRT" },
        { ProcessSignal::Bus, "SIGBUS" },
        { ProcessSignal::FloatingPoint, "SIGFPE" },
        { ProcessSignal::Segmentation, "SIGSEGV" },
        { ProcessSignal::Terminate, "SIGTERM" },
        { ProcessSignal::ProcessorTime, "SIGXCPU" },
    });
};

} // namespace cyclamenstair
