#pragma once

#include <Cyclamenstair/Codec/EntryMessages.h>
#include <Cyclamenstair/Entry/EntryState.h>
#include <Cyclamenstair/Entry/StoreWatcher.h>

namespace cyclamenstair {

/// Keeps the target registry in sync with the targets' entries in the store. Belongs to one event loop.
class TargetWatcher {
public:
    TargetWatcher(boost::asio::io_context& context, PlatformStore& store, EntryState& state);

    void start() { m_watcher.start(); }
    StoreWatcher& storeWatcher() { return m_watcher; }

    /// Applies entries read by a peer, unless this node has already loaded entries.
    void apply(const std::vector<TargetEntry>& entries);

    /// Returns all valid entries with their revisions.
    std::vector<TargetEntry> entries() const;

private:
    void onRead(const StoreRange& range);
    void replaceAll(std::vector<TargetEntry> entries, int64_t revision);
    void onChange(const StoreChange& change);

    EntryState* m_state;
    StoreWatcher m_watcher;
    std::map<std::string, TargetEntry> m_entries; ///< By instance id.
};

} // namespace cyclamenstair
