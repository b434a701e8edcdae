#pragma once

#include <Cyclamenstair/Entry/OrderLeaseElector.h>
#include <Cyclamenstair/Entry/PeerMesh.h>
#include <Cyclamenstair/Entry/StoreWatcher.h>

namespace cyclamenstair {

/// Watches the records that nodes write to the store: the holder of the order lease and the nodes' entries.
class ControlWatcher {
public:
    ControlWatcher(boost::asio::io_context& context, PlatformStore& store, OrderLeaseElector& elector, PeerMesh& mesh);

    void start() { m_watcher.start(); }
    StoreWatcher& storeWatcher() { return m_watcher; }

private:
    void onRead(const StoreRange& range);
    void onChange(const StoreChange& change);
    void applyNodes();
    void updateNode(const StoreRecord& record);
    void setLeaseHolder(const std::string& leaseHolder);

    OrderLeaseElector* m_elector;
    PeerMesh* m_mesh;
    PeerNodes m_nodes;
    StoreWatcher m_watcher;
};

} // namespace cyclamenstair
