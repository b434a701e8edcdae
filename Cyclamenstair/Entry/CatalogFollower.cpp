#include <Cyclamenstair/Entry/CatalogFollower.h>

#include <Cyclamenstair/Telemetry/Log.h>

#include <platform/CatalogCodec.h>
#include <platform/PlatformKeys.h>

namespace cyclamenstair {

CatalogFollower::CatalogFollower(boost::asio::io_context& context, PlatformStore& store, EntryState& state)
    : m_state(&state)
    , m_follower(context, store, catalogPrefix(),
          { [this](const StoreRange& range) {
               for (const auto& record : range.records)
                   onRecord(record);
           },
              [this](const StoreChange& change) {
                  // A deleted catalog leaves the last one in force.
                  if (!change.isDeleted)
                      onRecord(change.record);
              } })
{
}

void CatalogFollower::onRecord(const StoreRecord& record)
{
    if (isCatalogKey(record.key))
        take(record.value, "revision " + std::to_string(record.modRevision));
}

void CatalogFollower::take(const std::string& text, const std::string& source)
{
    auto catalog = decodeCatalog(text);
    if (!catalog) {
        logError(LogSeverity::Error, "catalog_rejected", catalog.error());
        return;
    }
    const auto version = std::to_string(catalog.value().version);
    const auto routes = std::to_string(catalog.value().routes.size());
    if (!m_state->catalog.activateIfNewer(std::move(catalog).value()))
        return;
    m_text = text;
    logEvent(
        LogSeverity::Info, "catalog_in_force", { { "version", version }, { "routes", routes }, { "source", source } });
}

} // namespace cyclamenstair
