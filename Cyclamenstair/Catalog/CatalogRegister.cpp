#include <Cyclamenstair/Catalog/CatalogRegister.h>

namespace cyclamenstair {

bool CatalogRegister::offer(ServiceCatalog catalog)
{
    RouteTable routes(catalog.routes);
    auto offered = std::make_shared<const CatalogInForce>(CatalogInForce { std::move(catalog), std::move(routes) });
    std::lock_guard lock(m_mutex);
    if (m_current && offered->catalog.version <= m_current->catalog.version)
        return false;
    m_current = std::move(offered);
    return true;
}

std::shared_ptr<const CatalogInForce> CatalogRegister::current() const
{
    std::lock_guard lock(m_mutex);
    return m_current;
}

} // namespace cyclamenstair
