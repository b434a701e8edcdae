#pragma once

#include <Cyclamenstair/Catalog/ServiceCatalog.h>

#include <functional>
#include <string_view>
#include <unordered_map>

namespace cyclamenstair {

/// Finds the route of a request: among the routes of its host, the one with the longest prefix of its path. Immutable.
class RouteTable {
public:
    explicit RouteTable(const std::vector<Route>& routes);

    /// Returns the route for a Host header value (a port is ignored, case does not matter) and a path without query, or
    /// nullptr if there is none.
    const Route* find(std::string_view host, std::string_view path) const;

private:
    /// Routes of one host by prefix.
    using Prefixes = std::unordered_map<std::string, Route>;

    std::unordered_map<std::string, Prefixes> m_hosts;
};

/// Returns the service that takes a request, chosen by weight from `unit` in [0, 1). Returns an empty name if the route
/// has no share with a positive weight.
std::string serviceFor(const Route& route, double unit);

} // namespace cyclamenstair
