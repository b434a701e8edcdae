// Relayed requests: how RequestExchange passes them on to another node, and how it serves those of another node.

#include <Cyclamenstair/Entry/RequestExchange.h>

#include <Cyclamenstair/Codec/RelayCodec.h>
#include <Cyclamenstair/Core/Overloaded.h>
#include <Cyclamenstair/Http/Endpoint.h>

#include <platform/RequestCodec.h>

#include <algorithm>
#include <array>

namespace cyclamenstair {

namespace {

    /// Requests that other nodes relay through this one at the same time. Each takes two connections, and a node has
    /// some thousand descriptors.
    constexpr uint32_t maxRelayedRequests = 512;

    void refuseRelayed(RequestLoop& loop, ServerConnection& connection, const std::string& requestId,
        const std::string& node, const std::string& reason)
    {
        loop.state().metrics.add(Metric::RelayedRequests, "not_accepted");
        logRequestEvent(requestId, "relayed_request_not_accepted", { { "node", node }, { "reason", reason } });
        auto head = encodeNodeResponse({ LocalResponseKind::NotRun, reason, Duration(0) }, requestId);
        head.fields.emplace_back(relayResponseField,
            encodeRelayResponse(RelayRefusal { RelayRefusalKind::NotAccepted, reason, std::nullopt }));
        connection.sendResponse(head, {});
    }

    RelayRefusal relayRefusal(const SendLocalResponse& response)
    {
        constexpr auto kinds = std::to_array<std::pair<LocalResponseKind, RelayRefusalKind>>({
            { LocalResponseKind::NotRun, RelayRefusalKind::NotRun },
            { LocalResponseKind::Failed, RelayRefusalKind::Failed },
            { LocalResponseKind::TimedOut, RelayRefusalKind::TimedOut },
            { LocalResponseKind::OverAllotment, RelayRefusalKind::NotRun },
        });
        const auto* row
            = std::find_if(kinds.begin(), kinds.end(), [&](const auto& entry) { return entry.first == response.kind; });
        return { row->second, response.reason, response.retryAfter };
    }

    /// Returns why this node does not accept a relayed request, or an empty string.
    std::string relayObstacle(
        const EntryState& state, const ActiveCatalog* catalog, const Route* route, const Result<RelayRequest>& relay)
    {
        if (!relay)
            return "relay_malformed";
        // The sender has applied this catalog already; an older one could undo it for its callers.
        if (!catalog || catalog->catalog.version < relay.value().catalogVersion)
            return "catalog_older";
        if (!route)
            return "no_route";
        if (state.reach.isIsolated())
            return "targets_unreachable";
        return state.relayedRequests >= maxRelayedRequests ? "too_many_relayed" : "";
    }

} // namespace

void RequestExchange::serveRelayed(
    RequestLoop& loop, const std::shared_ptr<ServerConnection>& connection, HttpRequest request)
{
    const auto value = fieldValue(request.fields, relayRequestField);
    const auto relay = decodeRelayRequest(value.value_or(""));
    eraseField(request.fields, relayRequestField);
    const auto decoded = decodeCallerRequest(request);
    auto& state = loop.state();
    const auto current = state.catalog.current();
    const Route* route = current ? current->routes.find(decoded.host, decoded.path) : nullptr;
    auto obstacle = relayObstacle(state, current.get(), route, relay);
    if (!obstacle.empty()) {
        refuseRelayed(loop, *connection, decoded.id, relay ? relay.value().node : std::string(), obstacle);
        return;
    }
    const auto& sender = relay.value();
    auto requestInfo = createRequestInfo(decoded, current->catalog, *route, loop.random(), monotonicNow());
    if (!state.canFinishBefore(requestInfo.deadline())) {
        refuseRelayed(loop, *connection, decoded.id, sender.node, "stopping");
        return;
    }
    requestInfo.isRelayed = true;
    requestInfo.requiredVersion = sender.softwareVersion;
    requestInfo.route.maxAttempts = std::min(requestInfo.route.maxAttempts, sender.maxAttempts);
    requestInfo.team = sender.team;
    requestInfo.teamPriority = sender.teamPriority;
    logRequestEvent(decoded.id, "relayed_request_accepted", { { "node", sender.node } });
    state.metrics.add(Metric::RelayedRequests, "accepted");
    std::make_shared<RequestExchange>(loop, connection, std::move(request), std::move(requestInfo))->start();
}

void RequestExchange::perform(const StartRelay& action)
{
    const auto& requestInfo = m_machine.requestInfo();
    log("relay_started",
        { { "route", requestInfo.route.name }, { "artifact", artifactText() },
            { "attempt", std::to_string(action.attempt) }, { "node", action.peer.id },
            { "time_left_ms", std::to_string(toMilliseconds(action.remainingTime)) },
            { "resume_after", action.resumeAfter.value_or("") } });
    m_loop->state().metrics.add(Metric::RelayedRequests, "sent");
    const auto endpoint = parseEndpoint(action.peer.address);
    if (!endpoint) {
        logError(LogSeverity::Warning, "relay_address_malformed", endpoint.error());
        failUnsent(action.attempt);
        return;
    }
    const auto current = m_loop->state().catalog.current();
    auto request = encodeRelayedRequest(m_request, action.remainingTime, action.resumeAfter);
    request.fields.emplace_back(relayRequestField,
        encodeRelayRequest({ m_loop->state().nodeId, current ? current->catalog.version : 0, action.maxAttempts,
            action.softwareVersion, requestInfo.team, requestInfo.teamPriority }));
    sendAttempt({ action.attempt, action.peer.id, true, nullptr, {} }, endpoint.value(), request);
}

bool RequestExchange::applyRelayResponse(uint32_t attempt, HttpResponseHead& head, ResponseInfo& info)
{
    const auto node = targetOf(attempt);
    const auto value = fieldValue(head.fields, relayResponseField);
    eraseField(head.fields, relayResponseField);
    const auto response = decodeRelayResponse(value.value_or(""));
    if (!response || !info.matchesRequestId) {
        // Not the answer of a node to this request, for example one that rejects it before it is read.
        log("attempt_failed",
            { { "attempt", std::to_string(attempt) }, { "target", node },
                { "message", "the response to the relayed request is malformed" } });
        closeCall(attempt);
        handle(AttemptDisconnected { attempt, true });
        return false;
    }
    if (const auto* refusal = std::get_if<RelayRefusal>(&response.value())) {
        log("relay_refused",
            { { "attempt", std::to_string(attempt) }, { "node", node },
                { "outcome", std::string(nameOf(refusal->kind)) }, { "reason", refusal->reason } });
        handle(RelayRefused { attempt, node, *refusal });
        return false;
    }
    info.softwareVersion = std::get<RelayedTargetAnswer>(response.value()).softwareVersion;
    return true;
}

void RequestExchange::addRelayResponse(HttpResponseHead& head, const ForwardHead& action)
{
    eraseField(head.fields, relayResponseField);
    head.fields.emplace_back(relayResponseField, encodeRelayResponse(RelayedTargetAnswer { action.softwareVersion }));
}

void RequestExchange::addRelayResponse(HttpResponseHead& head, const SendLocalResponse& action) const
{
    auto refusal = relayRefusal(action);
    const auto& state = m_loop->state();
    // The reason is this node's own, so another one may serve the request.
    if (refusal.kind == RelayRefusalKind::NotRun && (state.reach.isIsolated() || state.isStopping))
        refusal.kind = RelayRefusalKind::NotAccepted;
    head.fields.emplace_back(relayResponseField, encodeRelayResponse(refusal));
}

} // namespace cyclamenstair
