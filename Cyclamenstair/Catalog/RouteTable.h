#pragma once

#include <Cyclamenstair/Catalog/ServiceCatalog.h>

#include <functional>
#include <string_view>
#include <unordered_map>

namespace cyclamenstair {

/// Maps a request to the route of its host with the longest matching path prefix. Immutable.
class RouteTable {
public:
    explicit RouteTable(const std::vector<Route>& routes);

    /// Returns the route for a Host header value and a path without query, or nullptr if there is none. The host's port
    /// and case are ignored.
    const Route* find(std::string_view host, std::string_view path) const;

private:
    /// Routes of one host by prefix.
    using Prefixes = std::unordered_map<std::string, Route>;

    std::unordered_map<std::string, Prefixes> m_hosts;
};

/// Selects a service by weight; `unitRandom` is a random number in [0, 1). Returns an empty name if the route has no
/// share with a positive weight.
std::string selectService(const Route& route, double unitRandom);

} // namespace cyclamenstair
