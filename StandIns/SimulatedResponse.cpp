#include <StandIns/SimulatedResponse.h>

#include <Cyclamenstair/Core/Hash.h>

#include <algorithm>
#include <utility>

namespace cyclamenstair {

namespace {

    constexpr uint32_t ok = 200;
    constexpr uint32_t internalError = 500;
    constexpr uint32_t gatewayTimeout = 504;
    constexpr std::string_view garbage = "\x01\x02 these bytes are no response\r\n\r\n";
    constexpr std::string_view surplusResponse = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nsurplus";

    std::string eventText(int64_t event) { return "id: " + std::to_string(event) + "\ndata: token\n\n"; }

} // namespace

std::string simulatedResponseBody(const std::string& targetId, const std::string& requestId, size_t meanBytes)
{
    auto body = targetId + ":" + requestId + ":";
    const size_t bytes = meanBytes / 2 + stableHash(requestId) % (meanBytes + 1);
    body.resize(std::max(body.size(), bytes), 'x');
    return body;
}

SimulatedResponse::SimulatedResponse(const SimulatedConnections& connections,
    std::shared_ptr<ServerConnection> connection, std::string targetId, std::string requestId,
    std::optional<TargetFaultKind> fault, size_t eventsBeforeFault)
    : m_connections(&connections)
    , m_connection(std::move(connection))
    , m_targetId(std::move(targetId))
    , m_requestId(std::move(requestId))
    , m_fault(fault)
    , m_eventsBeforeFault(eventsBeforeFault)
{
}

void SimulatedResponse::reject(
    ServerConnection& connection, uint32_t status, const std::string& targetId, const std::string& requestId)
{
    connection.sendResponse({ status, {},
                                { { "Cyclamenstair-Request-Id", requestId }, { "Cyclamenstair-Not-Run", "1" },
                                    { "Cyclamenstair-Instance-Id", targetId } } },
        {});
}

bool SimulatedResponse::sendEvent(int64_t event)
{
    if (m_fault == TargetFaultKind::LoseAnswers)
        return true;
    if (m_fault == TargetFaultKind::FailRequests) {
        fail();
        return false;
    }
    const bool isFaultDue = m_eventsBeforeFault == 0;
    if (m_fault == TargetFaultKind::GarbleAnswers && isFaultDue && !m_isHeadSent) {
        sendGarbage();
        return false;
    }
    if (!isFaultDue)
        --m_eventsBeforeFault;
    sendStreamHead();
    const bool isReset = m_fault == TargetFaultKind::ResetAnswers && isFaultDue;
    const auto text = eventText(event);
    m_connection->sendData(isReset ? text.substr(0, text.size() / 2) : text);
    if (isReset)
        m_connections->resetAfterOutput(m_connection);
    return !isReset;
}

void SimulatedResponse::completeStream()
{
    if (m_fault == TargetFaultKind::LoseAnswers)
        return;
    if (m_fault == TargetFaultKind::FailRequests) {
        fail();
        return;
    }
    sendStreamHead();
    if (m_fault == TargetFaultKind::ResetAnswers) {
        m_connections->resetAfterOutput(m_connection);
        return;
    }
    m_connection->finish();
    // After a complete response, data has no framing; on a connection that closes after a stream, that of a chunk.
    if (m_fault == TargetFaultKind::GarbleAnswers)
        m_connection->sendData(surplusResponse);
}

void SimulatedResponse::sendBody(size_t meanBytes) const
{
    if (m_fault == TargetFaultKind::LoseAnswers)
        return;
    if (m_fault == TargetFaultKind::FailRequests) {
        fail();
        return;
    }
    if (m_fault == TargetFaultKind::GarbleAnswers && m_eventsBeforeFault == 0) {
        sendGarbage();
        return;
    }
    const auto body = simulatedResponseBody(m_targetId, m_requestId, meanBytes);
    if (m_fault == TargetFaultKind::ResetAnswers) {
        m_connection->sendHead(receiptHead(ok), body.size());
        m_connection->sendData(std::string_view(body).substr(0, body.size() / 2));
        m_connections->resetAfterOutput(m_connection);
        return;
    }
    m_connection->sendResponse(receiptHead(ok), body);
    if (m_fault == TargetFaultKind::GarbleAnswers)
        m_connection->sendData(surplusResponse);
}

void SimulatedResponse::expire() const
{
    if (m_fault == TargetFaultKind::LoseAnswers)
        return;
    if (m_isHeadSent)
        m_connection->abort();
    else
        m_connection->sendResponse(receiptHead(gatewayTimeout), {});
}

HttpResponseHead SimulatedResponse::receiptHead(uint32_t status) const
{
    return { status, {},
        { { "Cyclamenstair-Request-Id", m_requestId }, { "Cyclamenstair-Response-Stamp", "receipt-" + m_targetId } } };
}

void SimulatedResponse::sendStreamHead()
{
    if (std::exchange(m_isHeadSent, true))
        return;
    auto head = receiptHead(ok);
    head.fields.emplace_back("Content-Type", "text/event-stream");
    m_connection->sendHead(head, std::nullopt);
}

void SimulatedResponse::sendGarbage() const
{
    m_connection->closeAfterResponse();
    // Before a head, data is sent without any framing.
    m_connection->sendData(garbage);
    m_connection->finish();
}

void SimulatedResponse::fail() const { m_connection->sendResponse(receiptHead(internalError), {}); }

} // namespace cyclamenstair
