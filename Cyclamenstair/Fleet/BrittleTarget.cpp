#include <Cyclamenstair/Fleet/BrittleTarget.h>

#include <algorithm>

namespace cyclamenstair {

uint32_t NodeShare::partOf(uint32_t slots) const
{
    return static_cast<uint32_t>(slots / nodeCount + (position < slots % nodeCount ? 1 : 0));
}

bool BrittleTarget::recordAnswer(
    std::optional<uint32_t> refusalLimit, TimePoint now, const BrittleTargetSettings& settings)
{
    const auto last = statement(now, settings);
    m_statement = { now, refusalLimit };
    m_hasStatement = true;
    return refusalLimit != (last ? last->refusalLimit : std::nullopt);
}

std::optional<BrittleStatement> BrittleTarget::statement(TimePoint now, const BrittleTargetSettings& settings) const
{
    const auto lifetime = m_statement.refusalLimit ? settings.statementLifetime : settings.denialLifetime;
    return m_hasStatement && now - m_statement.statedAt < lifetime ? std::optional(m_statement) : std::nullopt;
}

void BrittleTarget::recordRefusal(size_t nodeCount, TimePoint now, const BrittleTargetSettings& settings)
{
    const auto last = statement(now, settings);
    if (!last || !last->refusalLimit)
        return;
    const auto perNode = std::chrono::duration_cast<Duration>(std::chrono::seconds(1) * settings.refusalMargin
        * static_cast<double>(nodeCount) / std::max(1U, *last->refusalLimit));
    m_pausedUntil = now + std::min(perNode, settings.maxRefusalPause);
}

void BrittleTarget::recordCancellation(TimePoint now, const BrittleTargetSettings& settings)
{
    while (!m_cancelledUntil.empty() && m_cancelledUntil.front() <= now)
        m_cancelledUntil.pop_front();
    m_cancelledUntil.push_back(now + settings.cancellationDelay);
}

bool BrittleTarget::hasRoom(
    BrittleLoad load, size_t nodeCount, double draw, TimePoint now, const BrittleTargetSettings& settings)
{
    while (!m_cancelledUntil.empty() && m_cancelledUntil.front() <= now)
        m_cancelledUntil.pop_front();
    load.own += static_cast<uint32_t>(m_cancelledUntil.size());
    load.total += static_cast<uint32_t>(m_cancelledUntil.size());
    if (m_pausedUntil > now || load.total >= load.slots)
        return false;
    const double free = load.slots - load.total;
    const double lent = settings.lendingFraction * load.slots - load.total;
    if (load.own < load.share) {
        // Nodes below their parts could send `free + beyondShare` requests.
        return load.beyondShare == 0 || lent > 0 || draw < settings.refillFraction * free / (free + load.beyondShare);
    }
    return lent > 0 && load.own - load.share < static_cast<uint32_t>(lent / static_cast<double>(nodeCount) + draw);
}

} // namespace cyclamenstair
