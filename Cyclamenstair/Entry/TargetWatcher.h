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
    /// Returns whether the record is the entry of a target, and shortens a long value to the fields that are used.
    bool accept(StoreRecord& record);
    /// Logs a rejected entry once, as each read of all entries meets it again.
    void reject(const StoreRecord& record, Error error);
    void onRead(const StoreRange& range);
    void replaceAll(std::vector<TargetEntry> entries, int64_t revision);
    void onChange(const StoreChange& change);
    /// Returns the decoded entry; the one that accept() has decoded, if it is the same.
    Result<TargetRecord> decode(const TargetEntry& entry);

    EntryState* m_state;
    StoreWatcher m_watcher;
    std::map<std::string, TargetEntry> m_entries; ///< By instance id.
    /// Entries with their revisions, from their acceptance until they are applied.
    std::map<std::string, std::pair<int64_t, TargetRecord>> m_decoded;
    std::map<std::string, int64_t> m_rejected; ///< Revisions of rejected entries by key.
};

} // namespace cyclamenstair
