#pragma once

#include <Cyclamenstair/Codec/NodeStatusCodec.h>
#include <Cyclamenstair/Entry/EntryState.h>

#include <platform/PlatformStore.h>

namespace cyclamenstair {

/// Writes this node's demand into the store for the holder of the order lease. Belongs to one event loop.
class StatusPublisher {
public:
    StatusPublisher(boost::asio::io_context& context, PlatformStore& store, EntryState& state);

    void start() { tick(); }

    /// Removes the status with its lease.
    void stop();

    /// Prefix of the nodes' status records.
    static std::string keyPrefix();

private:
    void tick();
    void publish();
    void scheduleTick();
    bool hasChanged(const NodeStatus& status) const;

    boost::asio::steady_timer m_timer;
    PlatformStore* m_store;
    EntryState* m_state;
    NodeStatus m_published;
    TimePoint m_publishedAt;
    TimePoint m_renewedAt;
    int64_t m_leaseId { 0 };
};

} // namespace cyclamenstair
