#pragma once

#include <Cyclamenstair/Catalog/Route.h>

#include <map>
#include <optional>

namespace cyclamenstair {

/// Model that the engines of a service can hold.
struct CatalogModel {
    std::string name;
    double weightsMib { 0 };
    Duration loadTime {}; ///< Load from the weight store.
    uint32_t adapterCount { 0 }; ///< Adapters are named a1 to aN.
    double adapterMib { 0 };
};

/// Abilities of the engines of a service; the same for all of its targets.
struct EngineProfile {
    uint32_t slots { 0 }; ///< Requests in one batch.
    double kvCapacityTokens { 0 };
    double weightsMib { 0 }; ///< Memory for weights and adapters together.
    uint32_t adapterSlots { 0 };
    double loadsPerSecond { 0 }; ///< Loads from the weight store over all targets.
    std::vector<CatalogModel> models;

    const CatalogModel* model(const std::string& name) const;
};

/// Service and, if it consists of model engines, their abilities.
struct CatalogService {
    std::string name;
    uint32_t maxConnections { 0 }; ///< Connections that one target accepts from all callers; 0 if not stated.
    std::optional<EngineProfile> engine;
};

/// Bounds on what a caller may send.
struct CallerLimits {
    uint32_t maxHeaderBytes { 16384 };
    uint64_t maxBodyBytes { 4194304 };
    Duration headerTimeout { milliseconds(3000) };
    Duration idleTimeout { milliseconds(15000) };
};

/// Routes, services and limits as the operator wrote them.
struct ServiceCatalog {
    int64_t version { 0 };
    std::vector<Route> routes;
    std::map<std::string, CatalogService> services;
    CallerLimits limits;
};

} // namespace cyclamenstair
