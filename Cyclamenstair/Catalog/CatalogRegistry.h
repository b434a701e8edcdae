#pragma once

#include <Cyclamenstair/Catalog/RouteTable.h>
#include <Cyclamenstair/Catalog/TeamDirectory.h>

#include <memory>
#include <mutex>

namespace cyclamenstair {

/// A catalog with its lookup tables.
struct ActiveCatalog {
    ServiceCatalog catalog;
    RouteTable routes;
    TeamDirectory teams;
};

/// Holds the active catalog. Only a greater version replaces it, so that a stale read never restores an older catalog.
/// Thread-safe.
class CatalogRegistry {
public:
    /// Activates the catalog if its version is greater than the active one. Returns whether it was activated.
    bool activateIfNewer(ServiceCatalog catalog);

    /// Returns the active catalog, or nullptr if there is none yet. Ownership is shared because a request keeps the
    /// catalog with which it started.
    std::shared_ptr<const ActiveCatalog> current() const;

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const ActiveCatalog> m_current;
};

} // namespace cyclamenstair
