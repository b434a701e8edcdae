#include <Cyclamenstair/Telemetry/FatalSignals.h>

#include <Cyclamenstair/Telemetry/ProcessEnd.h>
#include <Cyclamenstair/Telemetry/ProcessSignal.h>

#include <algorithm>
#include <bit>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cxxabi.h>
#include <exception>
#include <link.h>
#include <memory>
#include <ucontext.h>
#include <unistd.h>

namespace cyclamenstair {

#ifndef CYCLAMENSTAIR_SANITIZED

namespace {

    /// Signals that the hardware or the C library raises. SIGXCPU: the limit of processor time is reached.
    constexpr std::array fatalSignals { SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT, SIGXCPU };

    constexpr int signalStatusBase = 128;
    constexpr size_t maxStackAddresses = 24;
    /// A fault this close to the stack pointer counts as a stack overflow.
    constexpr uintptr_t maxOverflowBytes = uintptr_t { 64 } * 1024;
    /// Part of the stack that is searched for return addresses.
    constexpr uintptr_t maxStackBytes = uintptr_t { 16 } * 1024;

    /// Addresses in memory of the executable or shared library that contains this code.
    struct CodeObject {
        uintptr_t loadBase { 0 };
        uintptr_t codeBegin { 0 };
        uintptr_t codeEnd { 0 };
    };

    /// Set before the handlers are installed, and constant afterwards.
    CodeObject codeObject;
    uintptr_t pageBytes = 4096;
    std::terminate_handler previousTerminateHandler = nullptr;

    /// An address above the frames of the current thread, up to which its stack is mapped; 0 if it is not known.
    thread_local uintptr_t stackEnd = 0;

    /// Registers of the interrupted code; 0 on an unknown architecture.
    struct Registers {
        uintptr_t programCounter { 0 };
        uintptr_t stackPointer { 0 };
        uintptr_t linkRegister { 0 };
    };

    Registers registersOf(const void* context)
    {
        const auto& machine = static_cast<const ucontext_t*>(context)->uc_mcontext;
#if defined(__x86_64__)
        return { static_cast<uintptr_t>(machine.gregs[REG_RIP]), static_cast<uintptr_t>(machine.gregs[REG_RSP]), 0 };
#elif defined(__aarch64__)
        constexpr size_t linkRegisterIndex = 30;
        return { machine.pc, machine.sp, machine.regs[linkRegisterIndex] };
#else
        (void)machine;
        return {};
#endif
    }

    /// Returns the address of the stack from which on its page is mapped.
    uintptr_t readableStack(uintptr_t stackPointer, uintptr_t faultAddress)
    {
        const auto distance = std::max(stackPointer, faultAddress) - std::min(stackPointer, faultAddress);
        if (distance >= maxOverflowBytes)
            return stackPointer;
        return (std::max(stackPointer, faultAddress) / pageBytes + 1) * pageBytes;
    }

    /// Appends words of the stack that lie in the program's code. The code has no frame pointers to follow.
    void appendStack(FixedLine& line, uintptr_t begin)
    {
        const auto pageEnd = (begin / pageBytes + 1) * pageBytes;
        const auto end = stackEnd > begin ? std::min(stackEnd, begin + maxStackBytes) : pageEnd;
        size_t count = 0;
        line.append(" stack=");
        for (auto address = begin & ~(sizeof(uintptr_t) - 1); address + sizeof(uintptr_t) <= end;
             address += sizeof(uintptr_t)) {
            const auto word = *std::bit_cast<const uintptr_t*>(address);
            if (word < codeObject.codeBegin || word >= codeObject.codeEnd)
                continue;
            if (count > 0)
                line.append(',');
            line.appendHex(word);
            if (++count == maxStackAddresses)
                return;
        }
    }

    void handleFatalSignal(int signal, siginfo_t* info, void* context)
    {
        const int savedErrno = errno;
        ProcessEndLine line(EndReason::FatalSignal, signalStatusBase + signal);
        auto& fields = line.fields();
        fields.appendField("signal", nameOf(static_cast<ProcessSignal>(signal)));
        const bool isSent = info->si_code <= 0; // By kill(), raise() or the like.
        fields.append(" code=");
        if (info->si_code < 0)
            fields.append('-');
        fields.appendDecimal(static_cast<uint64_t>(std::abs(info->si_code)));
        if (isSent)
            fields.appendField("sender", static_cast<uint64_t>(info->si_pid));
        else
            fields.appendHexField("address", reinterpret_cast<uintptr_t>(info->si_addr));
        fields.appendField("thread", static_cast<uint64_t>(::gettid()));
        const auto registers = registersOf(context);
        fields.appendHexField("pc", registers.programCounter);
        if (registers.linkRegister != 0)
            fields.appendHexField("lr", registers.linkRegister);
        fields.appendHexField("load_base", codeObject.loadBase);
        const auto faultAddress = isSent ? 0 : reinterpret_cast<uintptr_t>(info->si_addr);
        appendStack(fields, readableStack(registers.stackPointer, faultAddress));
        line.write();
        // The faulting instruction is repeated after the return, so that the core dump shows it. Other signals are
        // raised again; this one is blocked until the return.
        ::signal(signal, SIG_DFL);
        const bool isRepeated = !isSent && signal != SIGXCPU && signal != SIGABRT;
        if (!isRepeated)
            ::raise(signal);
        errno = savedErrno;
    }

    /// Returns the text of the current exception, or an empty one.
    std::string currentExceptionText()
    {
        try {
            if (const auto exception = std::current_exception())
                std::rethrow_exception(exception);
        } catch (const std::exception& exception) {
            return exception.what();
        } catch (...) {
            return {};
        }
        return {};
    }

    [[noreturn]] void handleTerminate()
    {
        ProcessEndLine line(EndReason::Terminated, signalStatusBase + SIGABRT);
        line.fields().appendField("thread", static_cast<uint64_t>(::gettid()));
        if (const auto* type = abi::__cxa_current_exception_type()) {
            int status = 0;
            const std::unique_ptr<char, decltype(&std::free)> name(
                abi::__cxa_demangle(type->name(), nullptr, nullptr, &status), std::free);
            line.fields().appendField("type", name ? name.get() : type->name());
            line.fields().appendField("message", currentExceptionText());
        }
        line.write();
        if (previousTerminateHandler)
            previousTerminateHandler();
        std::abort();
    }

    /// Records the addresses of the object if it contains this function, and ends the search then.
    int recordCodeObject(dl_phdr_info* info, size_t, void*)
    {
        const auto ownAddress = reinterpret_cast<uintptr_t>(&recordCodeObject);
        for (int i = 0; i < info->dlpi_phnum; ++i) {
            const auto& header = info->dlpi_phdr[i];
            const auto begin = info->dlpi_addr + header.p_vaddr;
            const auto end = begin + header.p_memsz;
            if (header.p_type != PT_LOAD || (header.p_flags & PF_X) == 0 || ownAddress < begin || ownAddress >= end)
                continue;
            codeObject = { info->dlpi_addr, begin, end };
            return 1;
        }
        return 0;
    }

} // namespace

void installFatalSignalHandlers()
{
    dl_iterate_phdr(recordCodeObject, nullptr);
    pageBytes = static_cast<uintptr_t>(::sysconf(_SC_PAGESIZE));
    // The environment lies above the frames of the main thread.
    stackEnd = reinterpret_cast<uintptr_t>(environ);
    previousTerminateHandler = std::set_terminate(handleTerminate);
    for (const int signal : fatalSignals) {
        struct sigaction present { };
        const bool isDefault = ::sigaction(signal, nullptr, &present) == 0 && (present.sa_flags & SA_SIGINFO) == 0
            && present.sa_handler == SIG_DFL;
        if (!isDefault)
            continue;
        struct sigaction action { };
        action.sa_sigaction = handleFatalSignal;
        action.sa_flags = SA_SIGINFO | SA_ONSTACK;
        sigemptyset(&action.sa_mask);
        ::sigaction(signal, &action, nullptr);
    }
}

AlternateSignalStack::AlternateSignalStack()
{
    stackEnd = reinterpret_cast<uintptr_t>(this);
    stack_t present {};
    if (::sigaltstack(nullptr, &present) != 0 || (present.ss_flags & SS_DISABLE) == 0)
        return;
    stack_t stack {};
    stack.ss_sp = m_memory.data();
    stack.ss_size = m_memory.size();
    m_isInstalled = ::sigaltstack(&stack, nullptr) == 0;
}

AlternateSignalStack::~AlternateSignalStack()
{
    if (!m_isInstalled)
        return;
    stack_t stack {};
    stack.ss_flags = SS_DISABLE;
    ::sigaltstack(&stack, nullptr);
}

#else

void installFatalSignalHandlers() { }
AlternateSignalStack::AlternateSignalStack() = default;
AlternateSignalStack::~AlternateSignalStack() = default;

#endif

} // namespace cyclamenstair
