#include <Cyclamenstair/Quarantine/PartEvidence.h>

#include <algorithm>

namespace cyclamenstair {

namespace {

    /// Upper bound of the doublings of QuarantineSettings::duration.
    constexpr uint32_t maxDoublings = 16;

} // namespace

void PartEvidence::addLostAnswer(const LostAnswerRow& answer, TimePoint now, const QuarantineSettings& settings)
{
    const auto lostAt = now - answer.age;
    const auto position = std::upper_bound(m_lostAnswers.begin(), m_lostAnswers.end(), lostAt,
        [](TimePoint time, const LostAnswer& known) { return time < known.lostAt; });
    m_lostAnswers.insert(position, { lostAt, answer.attempt, answer.request });
    if (m_lostAnswers.size() > settings.maxLostAnswersPerPart)
        m_lostAnswers.erase(m_lostAnswers.begin());
}

bool PartEvidence::clear(TimePoint now)
{
    if (m_lostAnswers.empty() && m_quarantineCount == 0)
        return false;
    ++m_generation;
    m_clearedAt = now;
    m_hadContinuedAnswers = true;
    m_lostAnswers.clear();
    m_quarantinedUntil = {};
    m_quarantineCount = 0;
    return true;
}

bool PartEvidence::merge(const PartRow& row, TimePoint now, const QuarantineSettings& settings)
{
    if (row.generation < m_generation)
        return false;
    bool isNew = row.generation > m_generation;
    if (isNew) {
        (void)clear(now);
        m_generation = row.generation;
        m_clearedAt = now;
    }
    if (row.hadContinuedAnswers && !m_hadContinuedAnswers) {
        m_hadContinuedAnswers = true;
        isNew = true;
    }
    // A full list drops its oldest entry, which must not come back from another node.
    const bool isFull = m_lostAnswers.size() >= settings.maxLostAnswersPerPart;
    for (const auto& answer : row.lostAnswers) {
        const bool isKnown = std::any_of(m_lostAnswers.begin(), m_lostAnswers.end(),
            [&](const LostAnswer& known) { return known.attempt == answer.attempt; });
        if (isKnown || isFull || answer.age >= settings.evidenceLifetime)
            continue;
        addLostAnswer(answer, now, settings);
        isNew = true;
    }
    if (row.quarantineCount > m_quarantineCount) {
        m_quarantinedUntil = now + std::clamp(row.quarantineLeft, Duration(0), settings.maxDuration);
        m_quarantineCount = row.quarantineCount;
        isNew = true;
    }
    return isNew;
}

bool PartEvidence::isSufficient(const std::set<uint64_t>& explained, uint64_t otherAnswers, uint32_t minRequests,
    TimePoint now, const QuarantineSettings& settings) const
{
    if (quarantineLeft(now) || m_lostAnswers.empty())
        return false;
    // A part that was quarantined before and fails targets again needs no further evidence.
    if (m_quarantineCount > 0)
        return m_lostAnswers.back().lostAt > m_quarantinedUntil;
    return otherAnswers >= settings.minOtherAnswers && failureCount(settings, explained) >= settings.minFailures
        && requestCount(explained) >= minRequests;
}

bool PartEvidence::isOfOneRequest(uint64_t request) const
{
    return std::all_of(m_lostAnswers.begin(), m_lostAnswers.end(),
        [&](const LostAnswer& answer) { return answer.request == request; });
}

void PartEvidence::quarantine(TimePoint now, const QuarantineSettings& settings)
{
    const auto doublings = std::min(m_quarantineCount, maxDoublings);
    m_quarantinedUntil = now + std::min(settings.duration * (1 << doublings), settings.maxDuration);
    ++m_quarantineCount;
}

void PartEvidence::collectAttempts(std::set<uint64_t>& attempts) const
{
    for (const auto& answer : m_lostAnswers)
        attempts.insert(answer.attempt);
}

std::optional<Duration> PartEvidence::quarantineLeft(TimePoint now) const
{
    return now < m_quarantinedUntil ? std::optional(m_quarantinedUntil - now) : std::nullopt;
}

bool PartEvidence::expire(TimePoint now, const QuarantineSettings& settings)
{
    std::erase_if(
        m_lostAnswers, [&](const LostAnswer& answer) { return now - answer.lostAt >= settings.evidenceLifetime; });
    if (m_quarantineCount > 0 && now - m_quarantinedUntil >= settings.maxDuration)
        m_quarantineCount = 0;
    const bool isGenerationForgotten = m_generation == 0 || now - m_clearedAt >= settings.evidenceLifetime;
    return m_lostAnswers.empty() && m_quarantineCount == 0 && isGenerationForgotten;
}

uint32_t PartEvidence::failureCount(const QuarantineSettings& settings, const std::set<uint64_t>& explained) const
{
    uint32_t count = 0;
    TimePoint spanStart;
    for (const auto& answer : m_lostAnswers) {
        if (explained.contains(answer.attempt))
            continue;
        if (count == 0 || answer.lostAt - spanStart >= settings.failureSpan) {
            ++count;
            spanStart = answer.lostAt;
        }
    }
    return count;
}

uint32_t PartEvidence::requestCount(const std::set<uint64_t>& explained) const
{
    std::set<uint64_t> requests;
    for (const auto& answer : m_lostAnswers) {
        if (!explained.contains(answer.attempt))
            requests.insert(answer.request);
    }
    return static_cast<uint32_t>(requests.size());
}

PartRow PartEvidence::row(const std::string& part, TimePoint now) const
{
    PartRow row { part, m_generation, {}, m_hadContinuedAnswers, quarantineLeft(now).value_or(Duration(0)),
        m_quarantineCount };
    row.lostAnswers.reserve(m_lostAnswers.size());
    for (const auto& answer : m_lostAnswers)
        row.lostAnswers.push_back({ answer.attempt, answer.request, now - answer.lostAt });
    return row;
}

} // namespace cyclamenstair
