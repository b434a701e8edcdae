#pragma once

#include <Cyclamenstair/Entry/EntryState.h>
#include <Cyclamenstair/Entry/StoreFollower.h>

namespace cyclamenstair {

/// Puts the operator's catalog in force as it changes in the store.
class CatalogFollower {
public:
    CatalogFollower(boost::asio::io_context& context, PlatformStore& store, EntryState& state);

    void start() { m_follower.start(); }

private:
    void take(const StoreRecord& record);

    EntryState* m_state;
    StoreFollower m_follower;
};

} // namespace cyclamenstair
