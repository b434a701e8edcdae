#pragma once

#include <Cyclamenstair/Entry/EntryState.h>
#include <Cyclamenstair/Entry/StoreFollower.h>

namespace cyclamenstair {

/// Keeps the target registry equal to the targets' entries in the store.
class TargetFollower {
public:
    TargetFollower(boost::asio::io_context& context, PlatformStore& store, EntryState& state);

    void start() { m_follower.start(); }

private:
    void onRead(const StoreRange& range);
    void onChange(const StoreChange& change);

    EntryState* m_state;
    StoreFollower m_follower;
};

} // namespace cyclamenstair
