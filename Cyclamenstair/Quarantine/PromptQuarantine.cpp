#include <Cyclamenstair/Quarantine/PromptQuarantine.h>

#include <Cyclamenstair/Core/Hash.h>

#include <algorithm>

namespace cyclamenstair {

PromptQuarantine::PromptQuarantine(
    const QuarantineSettings& settings, std::function<void(const PartVerdict&)> onVerdict)
    : m_settings(settings)
    , m_onVerdict(std::move(onVerdict))
{
}

std::optional<Duration> PromptQuarantine::timeUntilAllowed(const PromptParts& parts, TimePoint now)
{
    std::optional<Duration> longest;
    bool isAnySuspicious = false;
    const auto check = [&] {
        for (const auto& part : parts.shared) {
            m_parts.withShard(part, [&](Shard& shard) {
                const auto entry = shard.suspects.find(part);
                if (entry == shard.suspects.end())
                    return;
                isAnySuspicious = isAnySuspicious || isSuspicious(entry->second, now);
                longest = std::max(longest, entry->second.evidence.quarantineLeft(now));
            });
        }
    };
    check();
    if (!longest && isAnySuspicious) {
        judge(now);
        check();
    }
    return longest;
}

void PromptQuarantine::addLostAnswer(const PromptParts& parts, uint64_t attempt, TimePoint now)
{
    const auto request = stableHash(parts.own);
    for (const auto& part : parts.shared) {
        m_parts.withShard(part, [&](Shard& shard) {
            stateOf(shard, part, now).evidence.addLostAnswer({ attempt, request, Duration(0) }, now, m_settings);
        });
        ++m_version;
    }
}

void PromptQuarantine::addContinuedAnswer(const PromptParts& parts, TimePoint now)
{
    if (parts.own.empty())
        return;
    ++m_continuedAnswers;
    for (const auto& part : parts.shared) {
        m_parts.withShard(part, [&](Shard& shard) {
            if (shard.continuedAt.size() >= m_settings.maxContinuedPartsPerShard && !shard.continuedAt.contains(part))
                shard.continuedAt.erase(shard.continuedAt.begin());
            shard.continuedAt[part] = now;
            const auto entry = shard.suspects.find(part);
            if (entry == shard.suspects.end())
                return;
            auto& evidence = entry->second.evidence;
            const bool wasQuarantined = evidence.quarantineLeft(now).has_value();
            if (!evidence.clear(now))
                return;
            if (wasQuarantined)
                report(PartVerdictKind::Cleared, part, evidence, now);
            ++m_version;
        });
    }
}

std::vector<PartRow> PromptQuarantine::rows(TimePoint now)
{
    std::vector<PartRow> rows;
    m_parts.forEachShard([&](Shard& shard) {
        std::erase_if(
            shard.continuedAt, [&](const auto& entry) { return now - entry.second >= m_settings.evidenceLifetime; });
        for (auto entry = shard.suspects.begin(); entry != shard.suspects.end();) {
            auto& [part, state] = *entry;
            if (state.evidence.expire(now, m_settings)) {
                entry = shard.suspects.erase(entry);
                continue;
            }
            rows.push_back(state.evidence.row(part, now));
            ++entry;
        }
    });
    return rows;
}

void PromptQuarantine::merge(const std::vector<PartRow>& rows, TimePoint now)
{
    for (const auto& row : rows) {
        m_parts.withShard(row.part, [&](Shard& shard) {
            auto& evidence = stateOf(shard, row.part, now).evidence;
            const bool wasQuarantined = evidence.quarantineLeft(now).has_value();
            if (!evidence.merge(row, now, m_settings))
                return;
            const bool isQuarantined = evidence.quarantineLeft(now).has_value();
            if (isQuarantined != wasQuarantined)
                report(isQuarantined ? PartVerdictKind::Adopted : PartVerdictKind::Cleared, row.part, evidence, now);
            ++m_version;
        });
    }
}

PromptQuarantine::PartState& PromptQuarantine::stateOf(Shard& shard, const std::string& part, TimePoint now)
{
    auto& suspects = shard.suspects;
    auto entry = suspects.find(part);
    if (entry == suspects.end()) {
        if (suspects.size() >= m_settings.maxPartsPerShard) {
            // Parts that are not quarantined are the first to go; callers can name any number of them.
            const auto removable = std::find_if(suspects.begin(), suspects.end(),
                [&](const auto& candidate) { return !candidate.second.evidence.quarantineLeft(now); });
            suspects.erase(removable == suspects.end() ? suspects.begin() : removable);
        }
        entry = suspects.emplace(part, PartState {}).first;
        if (shard.continuedAt.contains(part))
            entry->second.evidence.setHadContinuedAnswers();
    }
    if (!entry->second.evidence.hasLostAnswers())
        entry->second.continuedAnswersBefore = m_continuedAnswers;
    return entry->second;
}

bool PromptQuarantine::isSuspicious(const PartState& state, TimePoint now) const
{
    return state.evidence.isSufficient({}, m_continuedAnswers - state.continuedAnswersBefore, now, m_settings);
}

void PromptQuarantine::judge(TimePoint now)
{
    std::set<uint64_t> explained;
    m_parts.forEachShard([&](const Shard& shard) {
        for (const auto& [part, state] : shard.suspects) {
            if (state.evidence.quarantineLeft(now))
                state.evidence.collectAttempts(explained);
        }
    });
    judgeParts(false, explained, now);
    judgeParts(true, explained, now);
}

void PromptQuarantine::judgeParts(bool hadContinuedAnswers, std::set<uint64_t>& explained, TimePoint now)
{
    // The attempts are added at the end, because parts of the same kind with the same evidence cannot be told apart.
    std::set<uint64_t> attempts;
    m_parts.forEachShard([&](Shard& shard) {
        for (auto& [part, state] : shard.suspects) {
            auto& evidence = state.evidence;
            const auto otherAnswers = m_continuedAnswers - state.continuedAnswersBefore;
            if (evidence.hadContinuedAnswers() != hadContinuedAnswers
                || !evidence.isSufficient(explained, otherAnswers, now, m_settings))
                continue;
            evidence.quarantine(now, m_settings);
            evidence.collectAttempts(attempts);
            report(PartVerdictKind::Quarantined, part, evidence, now);
        }
    });
    explained.merge(attempts);
}

void PromptQuarantine::report(
    PartVerdictKind kind, const std::string& part, const PartEvidence& evidence, TimePoint now)
{
    ++m_version;
    if (!m_onVerdict)
        return;
    m_onVerdict({ kind, part, evidence.failureCount(m_settings), evidence.requestCount(),
        evidence.quarantineLeft(now).value_or(Duration(0)) });
}

} // namespace cyclamenstair
