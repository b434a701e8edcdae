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
        forEachPart(parts, [&](const std::string& part) {
            m_parts.withShard(part, [&](Shard& shard) {
                const auto entry = shard.suspects.find(part);
                if (entry == shard.suspects.end())
                    return;
                isAnySuspicious = isAnySuspicious || isSuspicious(part, entry->second, now);
                longest = std::max(longest, entry->second.evidence.quarantineLeft(now));
            });
        });
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
    forEachPart(parts, [&](const std::string& part) {
        m_parts.withShard(part, [&](Shard& shard) {
            stateOf(shard, part, now).evidence.addLostAnswer({ attempt, request, Duration(0) }, now, m_settings);
        });
        ++m_version;
    });
}

void PromptQuarantine::addContinuedAnswer(const PromptParts& parts, TimePoint now)
{
    if (parts.own.empty())
        return;
    ++m_continuedAnswers;
    forEachPart(parts, [&](const std::string& part) {
        m_parts.withShard(part, [&](Shard& shard) {
            if (part != parts.own) {
                if (shard.continuedAt.size() >= m_settings.maxContinuedPartsPerShard
                    && !shard.continuedAt.contains(part))
                    shard.continuedAt.erase(shard.continuedAt.begin());
                shard.continuedAt[part] = now;
            }
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
    });
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
            // Callers can name any number of parts. Those with the least evidence are the first to go.
            const auto weight = [&](const PartEvidence& evidence) {
                return std::pair(evidence.quarantineLeft(now).has_value(), evidence.lostAnswerCount());
            };
            suspects.erase(std::min_element(suspects.begin(), suspects.end(), [&](const auto& left, const auto& right) {
                return weight(left.second.evidence) < weight(right.second.evidence);
            }));
        }
        entry = suspects.emplace(part, PartState {}).first;
        if (shard.continuedAt.contains(part))
            entry->second.evidence.setHadContinuedAnswers();
    }
    if (!entry->second.evidence.hasLostAnswers())
        entry->second.continuedAnswersBefore = m_continuedAnswers;
    return entry->second;
}

bool PromptQuarantine::isSuspicious(const std::string& part, const PartState& state, TimePoint now) const
{
    const auto minRequests = identifiesRequest(part, state) ? 1 : m_settings.minRequests;
    return state.evidence.isSufficient(
        {}, m_continuedAnswers - state.continuedAnswersBefore, minRequests, now, m_settings);
}

bool PromptQuarantine::identifiesRequest(const std::string& part, const PartState& state)
{
    return state.evidence.hasLostAnswers() && state.evidence.isOfOneRequest(stableHash(part));
}

void PromptQuarantine::judge(TimePoint now)
{
    // A request that is quarantined by itself explains nothing: one of its shared parts may be the cause.
    std::set<uint64_t> explained;
    m_parts.forEachShard([&](const Shard& shard) {
        for (const auto& [part, state] : shard.suspects) {
            if (state.evidence.quarantineLeft(now) && !identifiesRequest(part, state))
                state.evidence.collectAttempts(explained);
        }
    });
    for (const bool hadContinuedAnswers : { false, true }) {
        judgeParts(
            [&](const std::string& part, const PartState& state) {
                return state.evidence.hadContinuedAnswers() == hadContinuedAnswers && !identifiesRequest(part, state);
            },
            explained, now);
    }
    judgeParts(&PromptQuarantine::identifiesRequest, explained, now);
}

void PromptQuarantine::judgeParts(const std::function<bool(const std::string&, const PartState&)>& isCandidate,
    std::set<uint64_t>& explained, TimePoint now)
{
    // The attempts are added at the end, because parts of the same kind with the same evidence cannot be told apart.
    std::set<uint64_t> attempts;
    m_parts.forEachShard([&](Shard& shard) {
        for (auto& [part, state] : shard.suspects) {
            auto& evidence = state.evidence;
            const auto otherAnswers = m_continuedAnswers - state.continuedAnswersBefore;
            const auto minRequests = identifiesRequest(part, state) ? 1 : m_settings.minRequests;
            if (!isCandidate(part, state)
                || !evidence.isSufficient(explained, otherAnswers, minRequests, now, m_settings))
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
