#include <Cyclamenstair/Entry/CatalogWatcher.h>

#include <Cyclamenstair/Telemetry/Log.h>

#include <platform/CatalogCodec.h>
#include <platform/PlatformKeys.h>

namespace cyclamenstair {

CatalogWatcher::CatalogWatcher(boost::asio::io_context& context, PlatformStore& store, EntryState& state)
    : m_state(&state)
    // Other keys of the operator take no part: they could fill pages before the catalog's.
    , m_watcher(context, store, catalogKey(),
          { [this](const StoreRange& range) {
               for (const auto& record : range.records)
                   onRecord(record);
           },
              [this](const StoreChange& change) {
                  // The last catalog stays in effect when its record is deleted.
                  if (!change.isDeleted)
                      onRecord(change.record);
              },
              [](const StoreRecord& record) { return record.key == catalogKey(); } })
{
}

void CatalogWatcher::onRecord(const StoreRecord& record)
{
    apply(record.value, "revision " + std::to_string(record.modRevision));
}

void CatalogWatcher::apply(const std::string& text, const std::string& source)
{
    auto catalog = decodeCatalog(text);
    if (!catalog) {
        logError(LogSeverity::Error, "catalog_rejected", catalog.error());
        return;
    }
    const auto version = std::to_string(catalog.value().version);
    const auto routes = std::to_string(catalog.value().routes.size());
    if (!m_state->activate(std::move(catalog).value(), suspendAwareNow()))
        return;
    m_text = text;
    logEvent(
        LogSeverity::Info, "catalog_in_force", { { "version", version }, { "routes", routes }, { "source", source } });
}

} // namespace cyclamenstair
