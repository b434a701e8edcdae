#pragma once

#include <Cyclamenstair/Codec/EntryMessages.h>
#include <Cyclamenstair/Entry/EntryState.h>
#include <Cyclamenstair/Entry/StoreFollower.h>

namespace cyclamenstair {

/// Keeps the target registry equal to the targets' entries in the store.
class TargetFollower {
public:
    TargetFollower(boost::asio::io_context& context, PlatformStore& store, EntryState& state);

    void start() { m_follower.start(); }

    /// Takes the entries as a peer has read them, unless the store itself has been read.
    void take(const std::vector<TargetEntry>& entries);

    /// The entries that are known, with their revisions.
    std::vector<TargetEntry> entries() const;

private:
    void onRead(const StoreRange& range);
    void replaceAll(std::vector<TargetEntry> entries, int64_t revision);
    void onChange(const StoreChange& change);

    EntryState* m_state;
    StoreFollower m_follower;
    std::map<std::string, TargetEntry> m_entries; ///< By instance id.
};

} // namespace cyclamenstair
