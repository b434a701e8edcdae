#pragma once

#include <Cyclamenstair/Entry/EntryState.h>
#include <Cyclamenstair/Entry/StoreFollower.h>

namespace cyclamenstair {

/// Puts the operator's catalog in force as it changes in the store.
class CatalogFollower {
public:
    CatalogFollower(boost::asio::io_context& context, PlatformStore& store, EntryState& state);

    void start() { m_follower.start(); }

    /// Takes the catalog as a peer has read it; an older one than is in force is ignored.
    void take(const std::string& text, const std::string& source);

    /// The catalog in force as the operator wrote it; empty before the first one.
    const std::string& text() const { return m_text; }

private:
    void onRecord(const StoreRecord& record);

    EntryState* m_state;
    StoreFollower m_follower;
    std::string m_text;
};

} // namespace cyclamenstair
