#pragma once

#include <Cyclamenstair/Entry/EntryState.h>
#include <Cyclamenstair/Entry/StoreWatcher.h>

namespace cyclamenstair {

/// Applies the operator's catalog whenever it changes in the store. Belongs to one event loop.
class CatalogWatcher {
public:
    CatalogWatcher(boost::asio::io_context& context, PlatformStore& store, EntryState& state);

    void start() { m_watcher.start(); }
    StoreWatcher& storeWatcher() { return m_watcher; }

    /// Applies a catalog text read from `source`; a malformed one, or one older than the current one, is ignored.
    void apply(const std::string& text, const std::string& source);

    /// Returns the text of the current catalog as the operator wrote it; empty if there is none yet.
    const std::string& text() const { return m_text; }

private:
    void onRecord(const StoreRecord& record);

    EntryState* m_state;
    StoreWatcher m_watcher;
    std::string m_text;
};

} // namespace cyclamenstair
