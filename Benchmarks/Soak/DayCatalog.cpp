#include <Benchmarks/Soak/DayCatalog.h>

namespace cyclamenstair {

namespace {

    using Json = nlohmann::json;

    constexpr double shorterTimeout = 0.9;
    constexpr int maxHeaderBytes = 16384;
    constexpr int maxBodyBytes = 4194304;
    constexpr int headerTimeoutMs = 3000;
    constexpr int idleTimeoutMs = 15000;

    /// Returns the name of a policy in the platform's catalog.
    std::string_view policyText(RetryPolicy policy)
    {
        switch (policy) {
        case RetryPolicy::Safe:
            return "safe";
        case RetryPolicy::Once:
            return "non_idempotent";
        case RetryPolicy::Stream:
            return "streaming";
        }
        return {};
    }

    Json unusedRoute(const std::string& name, const std::string& service)
    {
        return { { "name", name }, { "host", DayCatalog::host }, { "path_prefix", "/" + name + "/" },
            { "kind", "safe" }, { "timeout_ms", 1000 }, { "target_latency_ms", 100 }, { "service", service },
            { "max_attempts", 1 } };
    }

    Json engineJson(const Site& site, const SiteService& service)
    {
        Json models = Json::array();
        for (const auto& model : site.models)
            models.push_back(
                { { "name", model.name }, { "weights_mb", model.weightsMb }, { "load_s", toSeconds(model.loadTime) },
                    { "adapters", model.adapterCount }, { "adapter_mb", model.adapterMb } });
        return { { "slots", service.engine->batch }, { "kv_capacity", service.engine->memoryTokens },
            { "weights_mb", service.engine->weightsMb }, { "adapter_slots", service.engine->adapterSlots },
            { "loads_per_s", site.weightLoadsPerSecond }, { "models", models } };
    }

} // namespace

DayCatalog::DayCatalog(const Site& site)
    : m_site(&site)
    , m_timeoutFactors(site.requestKinds.size(), 1)
{
}

void DayCatalog::changeTimeout(size_t step)
{
    advance();
    auto& factor = m_timeoutFactors[step % m_timeoutFactors.size()];
    factor = factor < 1 ? 1 : shorterTimeout;
}

void DayCatalog::toggleUnusedRoute()
{
    advance();
    m_hasToggledRoute = !m_hasToggledRoute;
}

void DayCatalog::addUnusedRoutes(size_t count)
{
    advance();
    m_unusedRoutes += count;
}

Json DayCatalog::routes() const
{
    Json routes = Json::array();
    for (size_t i = 0; i < m_site->requestKinds.size(); ++i) {
        const auto& kind = m_site->requestKinds[i];
        routes.push_back({ { "name", kind.name }, { "host", host }, { "path_prefix", pathPrefix(kind) },
            { "kind", policyText(kind.retryPolicy) },
            { "timeout_ms", static_cast<double>(toMilliseconds(kind.routeTimeout)) * m_timeoutFactors[i] },
            { "target_latency_ms", toMilliseconds(kind.latencyObjective) }, { "service", kind.service },
            { "max_attempts", kind.maxAttempts }, { "priority", kind.priority } });
        if (kind.retryPolicy == RetryPolicy::Stream) {
            routes.back()["resumable"] = kind.isResumable;
            routes.back()["gap_target_ms"] = toMilliseconds(kind.eventGapObjective);
            routes.back()["sticky"] = true;
        }
    }
    const auto& service = m_site->services.front().name;
    for (size_t i = 0; i < m_unusedRoutes; ++i)
        routes.push_back(unusedRoute("unused-" + std::to_string(i), service));
    if (m_hasToggledRoute)
        routes.push_back(unusedRoute("toggled", service));
    return routes;
}

Json DayCatalog::services() const
{
    Json services = Json::array();
    for (const auto& service : m_site->services) {
        services.push_back({ { "name", service.name }, { "max_conns", service.maxConnections } });
        if (service.engine)
            services.back()["engine"] = engineJson(*m_site, service);
    }
    return services;
}

std::string DayCatalog::text() const
{
    return Json({ { "version", m_version }, { "routes", routes() }, { "services", services() },
                    { "limits",
                        { { "max_header_bytes", maxHeaderBytes }, { "max_body_bytes", maxBodyBytes },
                            { "header_timeout_ms", headerTimeoutMs }, { "idle_timeout_ms", idleTimeoutMs } } } })
        .dump();
}

} // namespace cyclamenstair
