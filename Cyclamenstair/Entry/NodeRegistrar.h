#pragma once

#include <Cyclamenstair/Entry/EntryState.h>

#include <platform/PlatformStore.h>

namespace cyclamenstair {

/// Keeps this node's address in the store under a lease, so that other nodes find it. Belongs to one event loop.
class NodeRegistrar {
public:
    NodeRegistrar(boost::asio::io_context& context, PlatformStore& store, std::string nodeId, std::string address);

    void start() { tick(); }

    /// Removes the entry with its lease.
    void stop();

    /// Prefix of the nodes' entries; the value is the node's address.
    static const std::string keyPrefix;

private:
    void tick();
    void write(int64_t leaseId);
    void renew();
    void after(Duration delay);

    boost::asio::steady_timer m_timer;
    PlatformStore* m_store;
    std::string m_nodeId;
    std::string m_address;
    int64_t m_leaseId { 0 }; ///< 0 while the entry is not written.
};

} // namespace cyclamenstair
