#pragma once

#include <Cyclamenstair/Entry/OrderLeaseElector.h>
#include <Cyclamenstair/Entry/PeerMesh.h>
#include <Cyclamenstair/Entry/StoreWatcher.h>
#include <Cyclamenstair/Entry/StreamOriginExchange.h>

namespace cyclamenstair {

/// Watches the records that nodes write to the store: the holder of the order lease, the nodes' entries, and
/// the software versions of targets.
class ControlWatcher {
public:
    ControlWatcher(boost::asio::io_context& context, PlatformStore& store, OrderLeaseElector& elector, PeerMesh& mesh,
        StreamOriginExchange& origins);

    /// Prefix of the records' keys.
    static const std::string prefix;

    void start() { m_watcher.start(); }
    StoreWatcher& storeWatcher() { return m_watcher; }

private:
    void onRead(const StoreRange& range);
    void onChange(const StoreChange& change);
    void applyNodes();
    void updateNode(const StoreRecord& record);
    void addVersions(const std::vector<StoreRecord>& records);
    void setLeaseHolder(const std::string& leaseHolder);

    OrderLeaseElector* m_elector;
    PeerMesh* m_mesh;
    StreamOriginExchange* m_origins;
    PeerNodes m_nodes;
    StoreWatcher m_watcher;
};

} // namespace cyclamenstair
