#include <Cyclamenstair/Fleet/StreamOrigins.h>

#include <Cyclamenstair/Core/Hash.h>
#include <Cyclamenstair/Fleet/SoftwareVersions.h>

#include <utility>

namespace cyclamenstair {

bool StreamOrigins::add(Shard& shard, const StreamOrigin& origin, TimePoint now)
{
    if (!shard.entries.try_emplace(origin.request, Entry { origin.version }).second)
        return false;
    shard.requests.emplace_back(now, origin.request);
    if (shard.requests.size() > maxOrigins / Shards::shardCount) {
        shard.entries.erase(shard.requests.front().second);
        shard.requests.pop_front();
    }
    return true;
}

void StreamOrigins::record(const std::string& requestId, const std::string& version, TimePoint now)
{
    StreamOrigin origin { stableHash(requestId), version };
    m_shards.withShard(origin.request, [&](Shard& shard) {
        if (add(shard, origin, now))
            shard.recorded.push_back(std::move(origin));
    });
}

std::vector<StreamOrigin> StreamOrigins::merge(const std::vector<StreamOrigin>& origins, TimePoint now)
{
    std::vector<StreamOrigin> added;
    for (const auto& origin : origins) {
        if (m_shards.withShard(origin.request, [&](Shard& shard) { return add(shard, origin, now); }))
            added.push_back(origin);
    }
    return added;
}

std::optional<std::string> StreamOrigins::find(const std::string& requestId) const
{
    const auto request = stableHash(requestId);
    return m_shards.withShard(request, [&](const Shard& shard) -> std::optional<std::string> {
        const auto entry = shard.entries.find(request);
        return entry == shard.entries.end() ? std::nullopt : std::optional(entry->second.version);
    });
}

std::vector<StreamOrigin> StreamOrigins::takeRecorded()
{
    std::vector<StreamOrigin> recorded;
    m_shards.forEachShard([&](Shard& shard) {
        for (auto& origin : std::exchange(shard.recorded, {}))
            recorded.push_back(std::move(origin));
    });
    return recorded;
}

void StreamOrigins::markWritten(const std::vector<StreamOrigin>& origins)
{
    for (const auto& origin : origins) {
        m_shards.withShard(origin.request, [&](Shard& shard) {
            const auto entry = shard.entries.find(origin.request);
            if (entry != shard.entries.end())
                entry->second.isWritten = true;
        });
    }
}

bool StreamOrigins::isWritten(const std::string& requestId) const
{
    const auto request = stableHash(requestId);
    return m_shards.withShard(request, [&](const Shard& shard) {
        const auto entry = shard.entries.find(request);
        return entry != shard.entries.end() && entry->second.isWritten;
    });
}

void StreamOrigins::expire(TimePoint now)
{
    m_shards.forEachShard([&](Shard& shard) {
        while (!shard.requests.empty() && now - shard.requests.front().first >= SoftwareVersions::lifetime) {
            shard.entries.erase(shard.requests.front().second);
            shard.requests.pop_front();
        }
    });
}

} // namespace cyclamenstair
