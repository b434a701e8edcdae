#include <Cyclamenstair/Catalog/CatalogRegistry.h>

namespace cyclamenstair {

bool CatalogRegistry::activateIfNewer(ServiceCatalog catalog)
{
    RouteTable routes(catalog.routes);
    TeamDirectory teams(catalog.teams);
    auto candidate = std::make_shared<const ActiveCatalog>(
        ActiveCatalog { std::move(catalog), std::move(routes), std::move(teams) });
    std::lock_guard lock(m_mutex);
    if (m_current && candidate->catalog.version <= m_current->catalog.version)
        return false;
    m_current = std::move(candidate);
    return true;
}

std::shared_ptr<const ActiveCatalog> CatalogRegistry::current() const
{
    std::lock_guard lock(m_mutex);
    return m_current;
}

} // namespace cyclamenstair
