#pragma once

#include <Cyclamenstair/Entry/OrderHolder.h>
#include <Cyclamenstair/Entry/PeerMesh.h>
#include <Cyclamenstair/Entry/StoreFollower.h>

namespace cyclamenstair {

/// Keeps up with what the nodes write into the store: the holder of the order lease and the nodes' addresses.
class ControlFollower {
public:
    ControlFollower(boost::asio::io_context& context, PlatformStore& store, OrderHolder& holder, PeerMesh& mesh);

    void start() { m_follower.start(); }

private:
    void onRead(const StoreRange& range);
    void onChange(const StoreChange& change);
    void setHolder(const std::string& holder);

    OrderHolder* m_holder;
    PeerMesh* m_mesh;
    std::map<std::string, std::string> m_nodes; ///< Addresses by node id.
    StoreFollower m_follower;
};

} // namespace cyclamenstair
