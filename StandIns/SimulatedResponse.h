#pragma once

#include <StandIns/SimulatedConnections.h>
#include <StandIns/SimulatedTarget.h>

namespace cyclamenstair {

/// Response of a simulated target to a request that it accepted, with the fault that was drawn for it.
class SimulatedResponse {
public:
    /// `eventsBeforeFault` is the number of events that a faulty stream has before its fault. `connections` must
    /// outlive the response.
    SimulatedResponse(const SimulatedConnections& connections, std::shared_ptr<ServerConnection> connection,
        std::string targetId, std::string requestId, std::optional<TargetFaultKind> fault, size_t eventsBeforeFault);

    const std::shared_ptr<ServerConnection>& connection() const { return m_connection; }
    const std::string& requestId() const { return m_requestId; }

    /// Rejects a request that does not run.
    static void reject(
        ServerConnection& connection, uint32_t status, const std::string& targetId, const std::string& requestId);
    void reject(uint32_t status) const { reject(*m_connection, status, m_targetId, m_requestId); }
    /// Sends an event of a stream. Returns false if a fault ended the response.
    bool sendEvent(int64_t event);
    void completeStream();
    /// Sends the response of a plain service.
    void sendBody(size_t meanBytes) const;
    /// Ends the response at the request's deadline.
    void expire() const;

private:
    HttpResponseHead receiptHead(uint32_t status) const;
    /// Sends the head of a stream unless it was sent.
    void sendStreamHead();
    void sendGarbage() const;
    void fail() const;

    const SimulatedConnections* m_connections;
    std::shared_ptr<ServerConnection> m_connection;
    std::string m_targetId;
    std::string m_requestId;
    std::optional<TargetFaultKind> m_fault;
    size_t m_eventsBeforeFault { 0 };
    bool m_isHeadSent { false };
};

} // namespace cyclamenstair
