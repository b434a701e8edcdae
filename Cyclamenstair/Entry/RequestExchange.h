#pragma once

#include <Cyclamenstair/Entry/RequestLoop.h>
#include <Cyclamenstair/Http/ServerConnection.h>
#include <Cyclamenstair/Telemetry/Log.h>

#include <platform/RequestCodec.h>

namespace cyclamenstair {

/// Connects a request's state machine to the caller's connection and to the connections to targets. Belongs to one
/// request loop. Handlers of pending operations share its ownership, so it lives until the request is over.
class RequestExchange : public std::enable_shared_from_this<RequestExchange> {
public:
    /// Routes the request and starts it, or responds immediately if there is no route or the node is shutting down.
    static void serve(RequestLoop& loop, const std::shared_ptr<ServerConnection>& connection, HttpRequest request);

    /// Serves a request that another node passes on because it reaches no target, or refuses it at once.
    static void serveRelayed(
        RequestLoop& loop, const std::shared_ptr<ServerConnection>& connection, HttpRequest request);

    RequestExchange(
        RequestLoop& loop, std::shared_ptr<ServerConnection> connection, HttpRequest request, RequestInfo requestInfo);
    ~RequestExchange();
    /// Answers the request at once, because the process is about to exit.
    void endBeforeExit() { handle(NodeStopping {}); }
    RequestExchange(const RequestExchange&) = delete;
    RequestExchange& operator=(const RequestExchange&) = delete;

private:
    /// An attempt's connection and the head of its response.
    struct TargetCall {
        uint32_t attempt { 0 };
        std::string target; ///< Or the node through which the request is relayed.
        bool isRelayed { false };
        std::shared_ptr<ClientConnection> connection; ///< Null once the response is complete.
        HttpResponseHead head;
    };

    void start();
    void handle(const RequestEvent& event);
    void perform(const std::vector<RequestAction>& actions);
    void perform(const StartAttempt& action);
    void perform(const StartRelay& action);
    void perform(const CancelAttempt& action);
    void perform(const ForwardHead& action);
    void perform(const ForwardData& action);
    void perform(const FinishResponse& action);
    void perform(const AbortResponse& action);
    void perform(const SendLocalResponse& action);
    void perform(const ReportStatement& action);
    void perform(const ReportLostAnswer& action);
    /// Sends the request over a connection to a target or to another node.
    void sendAttempt(TargetCall call, const boost::asio::ip::tcp::endpoint& endpoint, const HttpRequest& request);
    void failUnsent(uint32_t attempt);
    void onTargetEvent(uint32_t attempt, ClientEvent event);
    void onHeadReceived(uint32_t attempt, ResponseHeadReceived received);
    static RequestInfo createRequestInfo(
        const CallerRequest& decoded, const ServiceCatalog& catalog, const Route& route, Random& random, TimePoint now);
    /// Adds what this node states beside the response to a relayed request.
    static void addRelayResponse(HttpResponseHead& head, const ForwardHead& action);
    void addRelayResponse(HttpResponseHead& head, const SendLocalResponse& action) const;
    /// Applies what the node that a request was relayed through states beside its response. Returns false if no target
    /// has answered; the attempt has then ended.
    bool applyRelayResponse(uint32_t attempt, HttpResponseHead& head, ResponseInfo& info);
    /// Records what the outcome of a call shows of the path to the targets.
    void recordReach(const TargetCall& call, const ClientEvent& event);
    /// Logs a response that is an error, lacks a receipt, or names another request, before the state machine handles
    /// it.
    void logUnsuccessfulResponse(uint32_t attempt, const ResponseInfo& head);
    TargetCall* findCall(uint32_t attempt);
    std::string targetOf(uint32_t attempt);
    void closeCall(uint32_t attempt);
    /// Stops reading from the target until the caller has read what is queued for it.
    void pauseWhileCallerIsSlow();
    /// Passes a part of the body on, or ends the attempt if all requests together buffer too much.
    void handleData(uint32_t attempt, std::string data);
    /// Counts the request as in progress until its response is written, so that a shutdown waits for it.
    void keepUntilWritten();
    void armTimer();
    void log(std::string_view event, std::initializer_list<LogField> fields);
    /// Records the time since the request arrived in the service's histogram.
    void observeElapsed(Metric metric);
    std::string artifactText() const;
    std::string promptPartsText() const;
    std::string elapsedText() const;

    RequestLoop* m_loop;
    std::shared_ptr<ServerConnection> m_callerConnection;
    HttpRequest m_request;
    BufferShare m_answerShare; ///< Bytes that the state machine buffers.
    RequestMachine m_machine;
    boost::asio::steady_timer m_timer;
    std::vector<TargetCall> m_calls; ///< Attempts that are running: the current one, and an alternative to it.
    AcquiredTarget m_lastTarget; ///< Target that was tried or has answered last.
    uint32_t m_responseStatus { 0 }; ///< Of the head that was sent to the caller.
    TimePoint m_firstByteAt; ///< When the response head was sent to the caller.
    TimePoint m_lastByteAt;
    Duration m_longestPause { 0 }; ///< Between two parts of the response sent to the caller.
};

} // namespace cyclamenstair
