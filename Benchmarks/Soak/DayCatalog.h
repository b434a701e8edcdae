#pragma once

#include <platform/SiteFile.h>

#include <nlohmann/json.hpp>

namespace cyclamenstair {

/// The catalog of a deployment's day, which changes during the day: one route for each kind of request, and routes that
/// no caller uses. Not thread-safe.
class DayCatalog {
public:
    static constexpr std::string_view host = "day.example";

    explicit DayCatalog(const Site& site);

    /// Returns the current version as JSON, in the form of the key op/config.
    std::string text() const;
    int64_t version() const { return m_version; }

    /// Starts a version in which a route that is used has another timeout, which stays above the callers' objective.
    void changeTimeout(size_t step);
    /// Starts a version with a route that no caller uses, or without one that was added before.
    void toggleUnusedRoute();
    /// Starts a version with further routes that no caller uses.
    void addUnusedRoutes(size_t count);

    static std::string pathPrefix(const SiteRequestKind& kind) { return "/" + kind.name + "/"; }

private:
    /// Versions increase in uneven steps.
    void advance() { m_version += 1 + m_version % 3; }
    nlohmann::json routes() const;
    nlohmann::json services() const;

    const Site* m_site;
    int64_t m_version { 1 };
    std::vector<double> m_timeoutFactors; ///< By kind of request.
    size_t m_unusedRoutes { 3 };
    bool m_hasToggledRoute { false };
};

} // namespace cyclamenstair
