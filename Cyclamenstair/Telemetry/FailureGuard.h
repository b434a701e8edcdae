#pragma once

#include <Cyclamenstair/Telemetry/HandlerFailures.h>

#include <exception>
#include <utility>

namespace cyclamenstair {

/// Runs the action; logs and counts an exception of it like that of a handler.
template <typename Action> void runGuarded(Action&& action) noexcept
{
    try {
        std::forward<Action>(action)();
    } catch (...) {
        logHandlerFailure();
    }
}

/// Runs an action if its scope is left by an exception, which is not caught.
template <typename Action> class FailureGuard {
public:
    explicit FailureGuard(Action action)
        : m_action(std::move(action))
    {
    }

    ~FailureGuard()
    {
        if (std::uncaught_exceptions() > m_exceptionCount)
            runGuarded(m_action);
    }

    FailureGuard(const FailureGuard&) = delete;
    FailureGuard& operator=(const FailureGuard&) = delete;

private:
    Action m_action;
    int m_exceptionCount { std::uncaught_exceptions() };
};

/// Handler of an asynchronous operation, with an action that runs if the handler throws, or if an exception drops the
/// operation: when it is started, between two of its steps, or before the handler is called. The exception of the
/// handler is logged, counted and caught. The action does not run if the operation is dropped with its io_context.
template <typename Handler, typename Action> class GuardedHandler {
public:
    GuardedHandler(Handler handler, Action action)
        : m_handler(std::move(handler))
        , m_action(std::move(action))
    {
    }

    GuardedHandler(GuardedHandler&& other) noexcept
        : m_handler(std::move(other.m_handler))
        , m_action(std::move(other.m_action))
        , m_isPending(std::exchange(other.m_isPending, false))
    {
    }

    ~GuardedHandler()
    {
        if (m_isPending && std::uncaught_exceptions() > 0)
            runGuarded(m_action);
    }

    GuardedHandler(const GuardedHandler&) = delete;
    GuardedHandler& operator=(const GuardedHandler&) = delete;
    GuardedHandler& operator=(GuardedHandler&&) = delete;

    template <typename... Arguments> void operator()(Arguments&&... arguments)
    {
        m_isPending = false;
        try {
            m_handler(std::forward<Arguments>(arguments)...);
        } catch (...) {
            logHandlerFailure();
            runGuarded(m_action);
        }
    }

private:
    Handler m_handler;
    Action m_action;
    bool m_isPending { true };
};

} // namespace cyclamenstair
