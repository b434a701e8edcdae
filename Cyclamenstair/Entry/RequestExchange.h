#pragma once

#include <Cyclamenstair/Entry/RequestLoop.h>
#include <Cyclamenstair/Http/ServerConnection.h>
#include <Cyclamenstair/Telemetry/Log.h>

namespace cyclamenstair {

/// Connects a request's state machine with the caller's connection and the connections to targets. Belongs to one
/// request loop and lives until the request is over; handlers share its ownership.
class RequestExchange : public std::enable_shared_from_this<RequestExchange> {
public:
    /// Routes the request and begins it, or answers it at once if there is no route.
    static void begin(RequestLoop& loop, const std::shared_ptr<ServerConnection>& caller, HttpRequest request);

    RequestExchange(
        RequestLoop& loop, std::shared_ptr<ServerConnection> caller, HttpRequest request, RequestInfo requestInfo);
    ~RequestExchange();
    RequestExchange(const RequestExchange&) = delete;
    RequestExchange& operator=(const RequestExchange&) = delete;

private:
    void start();
    void handle(const RequestEvent& event);
    void perform(const std::vector<RequestAction>& actions);
    void perform(const StartAttempt& action);
    void perform(const CancelAttempt& action);
    void perform(const ForwardHead& action);
    void perform(const ForwardData& action);
    void perform(const FinishResponse& action);
    void perform(const AbortResponse& action);
    void perform(const SendLocalResponse& action);
    void onTargetEvent(uint32_t attempt, ClientEvent event);
    /// Logs an answer that is not the target's own success, before the machine decides what becomes of it.
    void logFailedAnswer(uint32_t attempt, const ResponseInfo& head);
    void closeAttempt();
    void armTimer();
    void log(std::string_view event, std::initializer_list<LogField> fields);
    /// Records the time since the request's arrival, by service.
    void observe(Metric metric);
    std::string artifactText() const;
    std::string elapsedText() const;

    RequestLoop* m_loop;
    std::shared_ptr<ServerConnection> m_caller;
    HttpRequest m_request;
    RequestMachine m_machine;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<ClientConnection> m_target;
    AcquiredTarget m_acquired;
    HttpAnswerHead m_head; ///< Of the present attempt's answer.
    TimePoint m_firstByteAt; ///< When the head was sent to the caller.
    TimePoint m_lastByteAt;
    Duration m_longestPause { 0 }; ///< Between parts of the answer, as sent to the caller.
};

} // namespace cyclamenstair
