#pragma once

#include <Cyclamenstair/Store/MemoryStore.h>
#include <StandIns/StandInServer.h>

#include <atomic>

namespace cyclamenstair::standin {

/// Key-value store with the subset of the etcd v3 JSON gateway that the project uses.
///
/// Faults: `lose_write_answers` (number of transactions that are applied but whose response is truncated),
/// `mute_watches` (if positive, watches stay open but report no events).
class StoreStandIn {
public:
    /// Port 0 lets the system choose.
    explicit StoreStandIn(int port = 0);
    ~StoreStandIn();

    int start() { return m_server.start(); }
    Faults& faults() { return m_server.faults(); }
    MemoryStore& store() { return m_store; }

private:
    void handleRange(const httplib::Request& request, httplib::Response& response);
    void handleTransaction(const httplib::Request& request, httplib::Response& response);
    void handleLease(const httplib::Request& request, httplib::Response& response);
    void handleWatch(const httplib::Request& request, httplib::Response& response);

    MemoryStore m_store;
    std::atomic<uint64_t> m_calls { 0 };
    std::atomic<bool> m_isStopping { false };
    StandInServer m_server;
};

} // namespace cyclamenstair::standin
