#pragma once

#include <Cyclamenstair/Catalog/Route.h>
#include <Cyclamenstair/Catalog/Team.h>

#include <map>
#include <optional>

namespace cyclamenstair {

/// Model that the engines of a service can load.
struct CatalogModel {
    std::string name;
    double weightsMib { 0 };
    Duration loadTime {}; ///< Time to load the weights from the weight store.
    uint32_t adapterCount { 0 }; ///< Number of adapters, named a1 to aN.
    double adapterMib { 0 };
};

/// Capacity of one engine of a service, which is the same for all targets of the service, and the service's models.
struct EngineProfile {
    uint32_t slots { 0 }; ///< Maximum number of requests in one batch.
    double kvCapacityTokens { 0 };
    double weightsMib { 0 }; ///< Memory for weights and adapters together.
    uint32_t adapterSlots { 0 };
    double loadsPerSecond { 0 }; ///< Maximum rate of loads from the weight store, over all targets.
    std::vector<CatalogModel> models;

    /// Returns the model with the given name, or nullptr if there is none.
    const CatalogModel* model(const std::string& name) const;
};

/// Service; `engine` has a value if its targets are model engines.
struct CatalogService {
    std::string name;
    uint32_t maxConnections { 0 }; ///< Connections that one target accepts from all callers; 0 if not stated.
    std::optional<EngineProfile> engine;
};

/// Limits on requests of callers.
struct CallerLimits {
    uint32_t maxHeaderBytes { 16384 };
    uint64_t maxBodyBytes { 4194304 };
    Duration headerTimeout { milliseconds(3000) };
    Duration idleTimeout { milliseconds(15000) };
};

/// Routes, services, teams and limits as configured by the operator.
struct ServiceCatalog {
    int64_t version { 0 };
    std::vector<Route> routes;
    std::map<std::string, CatalogService> services;
    std::vector<Team> teams; ///< If empty, callers present no keys and have no allotments.
    CallerLimits limits;
};

} // namespace cyclamenstair
