#include <Cyclamenstair/Bookings/ClaimTable.h>

namespace cyclamenstair {

std::optional<ClaimTable::Existing> ClaimTable::begin(
    const std::string& key, const std::string& token, uint64_t bodyHash)
{
    return m_shards.withShard(key, [&](Shard& shard) -> std::optional<Existing> {
        if (const auto found = shard.entries.find(key); found != shard.entries.end()) {
            const auto& entry = found->second;
            auto progress = ClaimProgress::Running;
            if (entry.phase == Phase::Finished)
                progress = ClaimProgress::Finished;
            else if (entry.phase == Phase::Unknown)
                progress = ClaimProgress::NotKnown;
            return Existing { entry.bodyHash, progress, entry.answer, entry.ended };
        }
        Entry entry;
        entry.token = token;
        entry.bodyHash = bodyHash;
        entry.ended = entry.end.get_future().share();
        shard.entries.emplace(key, std::move(entry));
        return std::nullopt;
    });
}

bool ClaimTable::markSending(const std::string& key, const std::string& token)
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
        addAbandoned(shard, token);
        return true;
    });
}

void ClaimTable::markNotRun(const std::string& key, const std::string& token)
{
    m_shards.withShard(key, [&](Shard& shard) {
        if (find(shard, key, token))
            erase(shard, key);
        addAbandoned(shard, token);
    });
}

void ClaimTable::finish(const std::string& key, const std::string& token, const BookingAnswer& answer)
{
    endCall(key, token, Phase::Finished, answer);
}

void ClaimTable::markUnknown(const std::string& key, const std::string& token)
{
    endCall(key, token, Phase::Unknown, {});
}

void ClaimTable::forget(const std::string& key, const std::string& token)
{
    m_shards.withShard(key, [&](Shard& shard) {
        if (find(shard, key, token))
            erase(shard, key);
    });
}

std::pair<ClaimProgress, BookingAnswer> ClaimTable::query(const std::string& key, const std::string& token) const
{
    return m_shards.withShard(key, [&](const Shard& shard) -> std::pair<ClaimProgress, BookingAnswer> {
        if (shard.abandoned.contains(token))
            return { ClaimProgress::Abandoned, {} };
        const auto found = shard.entries.find(key);
        if (found == shard.entries.end() || found->second.token != token || found->second.phase == Phase::Unknown)
            return { ClaimProgress::NotKnown, {} };
        if (found->second.phase == Phase::Finished)
            return { ClaimProgress::Finished, found->second.answer };
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
    shard.answerBytes -= entry.answer.body.size();
    if (entry.phase == Phase::Claiming || entry.phase == Phase::Sent)
        entry.end.set_value();
    shard.entries.erase(found);
}

void ClaimTable::addAbandoned(Shard& shard, const std::string& token) const
{
    if (!shard.abandoned.insert(token).second)
        return;
    shard.abandonedOrder.push_back(token);
    // A forgotten token is answered with NotKnown, which makes repeats unknown but never runs a call twice.
    if (shard.abandonedOrder.size() > m_limits.abandonedTokens) {
        shard.abandoned.erase(shard.abandonedOrder.front());
        shard.abandonedOrder.pop_front();
    }
}

void ClaimTable::endCall(const std::string& key, const std::string& token, Phase phase, const BookingAnswer& answer)
{
    m_shards.withShard(key, [&](Shard& shard) {
        auto* entry = find(shard, key, token);
        if (!entry || entry->phase == Phase::Finished || entry->phase == Phase::Unknown)
            return;
        entry->phase = phase;
        entry->answer = answer;
        shard.answerBytes += answer.body.size();
        entry->end.set_value();
        shard.endedCalls.emplace_back(key, token);
        while (shard.endedCalls.size() > m_limits.endedCalls || shard.answerBytes > m_limits.answerBytes) {
            const auto [oldKey, oldToken] = shard.endedCalls.front();
            shard.endedCalls.pop_front();
            if (find(shard, oldKey, oldToken))
                erase(shard, oldKey);
        }
    });
}

} // namespace cyclamenstair
