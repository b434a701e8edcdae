#include <Cyclamenstair/Catalog/RouteTable.h>

#include <algorithm>
#include <cctype>

namespace cyclamenstair {

namespace {

    std::string normalisedHost(std::string_view host)
    {
        std::string name(host.substr(0, host.find(':')));
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
        return name;
    }

} // namespace

RouteTable::RouteTable(const std::vector<Route>& routes)
{
    for (const auto& route : routes)
        m_hosts[normalisedHost(route.host)].insert_or_assign(route.pathPrefix, route);
}

const Route* RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto prefixes = m_hosts.find(normalisedHost(host));
    if (prefixes == m_hosts.end())
        return nullptr;
    // Every prefix ends with a slash, so only parts of the path that end with a slash can match.
    for (size_t slash = path.rfind('/'); slash != std::string_view::npos; slash = path.rfind('/', slash - 1)) {
        const auto route = prefixes->second.find(std::string(path.substr(0, slash + 1)));
        if (route != prefixes->second.end())
            return &route->second;
        if (slash == 0)
            break;
    }
    return nullptr;
}

std::string selectService(const Route& route, double unitRandom)
{
    double total = 0;
    for (const auto& share : route.shares)
        total += std::max(0.0, share.weight);
    double position = unitRandom * total;
    for (const auto& share : route.shares) {
        if (share.weight <= 0)
            continue;
        position -= share.weight;
        if (position < 0)
            return share.service;
    }
    return {};
}

} // namespace cyclamenstair
