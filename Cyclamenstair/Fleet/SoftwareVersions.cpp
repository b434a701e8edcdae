#include <Cyclamenstair/Fleet/SoftwareVersions.h>

namespace cyclamenstair {

void SoftwareVersions::observe(const ServiceVersion& version, TimePoint now)
{
    m_services.withShard(version.service, [&](auto& services) {
        auto& seenAt = services[version.service];
        std::erase_if(seenAt, [&](const auto& entry) { return now - entry.second >= lifetime; });
        auto& lastSeenAt = seenAt[version.version];
        lastSeenAt = std::max(lastSeenAt, now);
    });
}

bool SoftwareVersions::isCurrent(TimePoint now) const
{
    return m_isComplete && now + m_suspendedTime.load() - m_confirmedAt.load() < confirmationLifetime;
}

std::optional<std::string> SoftwareVersions::soleVersion(const std::string& service, TimePoint now) const
{
    if (!isCurrent(now))
        return std::nullopt;
    return m_services.withShard(service, [&](const auto& services) -> std::optional<std::string> {
        const auto entry = services.find(service);
        if (entry == services.end())
            return std::nullopt;
        std::optional<std::string> sole;
        for (const auto& [version, seenAt] : entry->second) {
            if (now - seenAt >= lifetime)
                continue;
            if (sole)
                return std::nullopt;
            sole = version;
        }
        return sole;
    });
}

bool SoftwareVersions::isMixed(TimePoint now) const
{
    const auto all = versions(now);
    return std::adjacent_find(all.begin(), all.end(), [](const auto& a, const auto& b) {
        return a.service == b.service;
    }) != all.end();
}

std::set<ServiceVersion> SoftwareVersions::versions(TimePoint now) const
{
    std::set<ServiceVersion> versions;
    m_services.forEachShard([&](const auto& services) {
        for (const auto& [service, seenAt] : services) {
            for (const auto& [version, lastSeenAt] : seenAt) {
                if (now - lastSeenAt < lifetime)
                    versions.insert({ service, version });
            }
        }
    });
    return versions;
}

} // namespace cyclamenstair
