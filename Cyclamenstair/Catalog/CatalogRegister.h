#pragma once

#include <Cyclamenstair/Catalog/RouteTable.h>

#include <memory>
#include <mutex>

namespace cyclamenstair {

/// A catalog with its lookup table.
struct CatalogInForce {
    ServiceCatalog catalog;
    RouteTable routes;
};

/// Holds the newest catalog that the node knows. A catalog with a version that is not greater is refused, so a stale
/// read never takes the node back. Callable from many threads.
class CatalogRegister {
public:
    /// Puts the catalog in force if its version is greater. Returns whether it did.
    bool offer(ServiceCatalog catalog);

    /// Returns the catalog in force, or nullptr before the first one. Requests keep the catalog that they started with,
    /// hence the shared ownership.
    std::shared_ptr<const CatalogInForce> current() const;

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const CatalogInForce> m_current;
};

} // namespace cyclamenstair
