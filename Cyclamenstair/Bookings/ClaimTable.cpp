#include <Cyclamenstair/Bookings/ClaimTable.h>

namespace cyclamenstair {

std::optional<ClaimTable::ExistingRequest> ClaimTable::tryRegister(
    const std::string& key, const std::string& token, uint64_t bodyHash)
{
    return m_shards.withShard(key, [&](Shard& shard) -> std::optional<ExistingRequest> {
        if (const auto found = shard.entries.find(key); found != shard.entries.end()) {
            const auto& entry = found->second;
            auto progress = ClaimProgress::Running;
            if (entry.phase == Phase::Finished)
                progress = ClaimProgress::Finished;
            else if (entry.phase == Phase::Unknown)
                progress = ClaimProgress::NotKnown;
            return ExistingRequest { entry.bodyHash, progress, entry.response, entry.ended };
        }
        Entry entry;
        entry.token = token;
        entry.bodyHash = bodyHash;
        entry.ended = entry.endPromise.get_future().share();
        shard.entries.emplace(key, std::move(entry));
        return std::nullopt;
    });
}

bool ClaimTable::tryMarkSent(const std::string& key, const std::string& token)
{
    return m_shards.withShard(key, [&](Shard& shard) {
        auto* entry = find(shard, key, token);
        if (!entry || entry->phase != Phase::Claiming)
            return false;
        entry->phase = Phase::Sent;
        return true;
    });
}

bool ClaimTable::abandon(const std::string& key, const std::string& token)
{
    return m_shards.withShard(key, [&](Shard& shard) {
        if (auto* entry = find(shard, key, token)) {
            if (entry->phase != Phase::Claiming)
                return false;
            erase(shard, key);
        }
        addAbandonedToken(shard, token);
        return true;
    });
}

void ClaimTable::markNotRun(const std::string& key, const std::string& token)
{
    m_shards.withShard(key, [&](Shard& shard) {
        if (find(shard, key, token))
            erase(shard, key);
        addAbandonedToken(shard, token);
    });
}

void ClaimTable::finish(const std::string& key, const std::string& token, const BookingResponse& response)
{
    completeRequest(key, token, Phase::Finished, response);
}

void ClaimTable::markUnknown(const std::string& key, const std::string& token)
{
    completeRequest(key, token, Phase::Unknown, {});
}

void ClaimTable::removeClaim(const std::string& key, const std::string& token)
{
    m_shards.withShard(key, [&](Shard& shard) {
        if (find(shard, key, token))
            erase(shard, key);
    });
}

std::pair<ClaimProgress, BookingResponse> ClaimTable::query(const std::string& key, const std::string& token) const
{
    return m_shards.withShard(key, [&](const Shard& shard) -> std::pair<ClaimProgress, BookingResponse> {
        if (shard.abandonedTokens.contains(token))
            return { ClaimProgress::Abandoned, {} };
        const auto found = shard.entries.find(key);
        if (found == shard.entries.end() || found->second.token != token || found->second.phase == Phase::Unknown)
            return { ClaimProgress::NotKnown, {} };
        if (found->second.phase == Phase::Finished)
            return { ClaimProgress::Finished, found->second.response };
        return { ClaimProgress::Running, {} };
    });
}

ClaimTable::Entry* ClaimTable::find(Shard& shard, const std::string& key, const std::string& token)
{
    const auto found = shard.entries.find(key);
    return found != shard.entries.end() && found->second.token == token ? &found->second : nullptr;
}

void ClaimTable::erase(Shard& shard, const std::string& key)
{
    const auto found = shard.entries.find(key);
    auto& entry = found->second;
    shard.responseBytes -= entry.response.body.size();
    if (entry.phase == Phase::Claiming || entry.phase == Phase::Sent)
        entry.endPromise.set_value();
    shard.entries.erase(found);
}

void ClaimTable::addAbandonedToken(Shard& shard, const std::string& token) const
{
    if (!shard.abandonedTokens.insert(token).second)
        return;
    shard.abandonedOrder.push_back(token);
    // After its removal a token is reported as NotKnown: a retry then gets an unknown outcome, but never runs twice.
    if (shard.abandonedOrder.size() > m_limits.maxAbandonedTokens) {
        shard.abandonedTokens.erase(shard.abandonedOrder.front());
        shard.abandonedOrder.pop_front();
    }
}

void ClaimTable::completeRequest(
    const std::string& key, const std::string& token, Phase phase, const BookingResponse& response)
{
    m_shards.withShard(key, [&](Shard& shard) {
        auto* entry = find(shard, key, token);
        if (!entry || entry->phase == Phase::Finished || entry->phase == Phase::Unknown)
            return;
        entry->phase = phase;
        entry->response = response;
        shard.responseBytes += response.body.size();
        entry->endPromise.set_value();
        shard.completedRequests.emplace_back(key, token);
        while (shard.completedRequests.size() > m_limits.maxCompletedRequests
            || shard.responseBytes > m_limits.maxResponseBytes) {
            const auto [oldestKey, oldestToken] = shard.completedRequests.front();
            shard.completedRequests.pop_front();
            if (find(shard, oldestKey, oldestToken))
                erase(shard, oldestKey);
        }
    });
}

} // namespace cyclamenstair
