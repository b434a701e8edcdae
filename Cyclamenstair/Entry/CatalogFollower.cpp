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
                   take(record);
           },
              [this](const StoreChange& change) {
                  // A deleted catalog leaves the last one in force.
                  if (!change.isDeleted)
                      take(change.record);
              } })
{
}

void CatalogFollower::take(const StoreRecord& record)
{
    if (!isCatalogKey(record.key))
        return;
    auto catalog = decodeCatalog(record.value);
    if (!catalog) {
        logError(LogSeverity::Error, "catalog_rejected", catalog.error());
        return;
    }
    const auto version = std::to_string(catalog.value().version);
    const auto routes = std::to_string(catalog.value().routes.size());
    if (m_state->catalog.offer(std::move(catalog).value()))
        logEvent(LogSeverity::Info, "catalog_in_force",
            { { "version", version }, { "routes", routes }, { "revision", std::to_string(record.modRevision) } });
}

} // namespace cyclamenstair
