#include <Benchmarks/Soak/StoreReadBound.h>

#include <algorithm>
#include <utility>

namespace cyclamenstair {

namespace {

    constexpr Duration longestPause = milliseconds(800); ///< StoreWatcherSettings::maxRetryDelay.
    /// Mean pause after a disturbance: the first ones are 0.2 s, 0.4 s and 0.8 s, and 0.35 s pass between two watches.
    constexpr Duration meanPause = milliseconds(450);
    constexpr size_t edgeReads = 2; ///< In a window, beyond those that its length permits: at its begin and its end.

} // namespace

std::optional<std::string> StoreReadBound::observe(TimePoint now, const StoreReadSample& sample)
{
    m_pages = std::max(m_pages, sample.pages);
    if (!m_beganAt) {
        m_beganAt = now;
        m_begin = sample;
        m_previousBegin = sample;
        return std::nullopt;
    }
    const auto elapsed = now - *m_beganAt;
    if (elapsed < window)
        return std::nullopt;
    const size_t calls = sample.calls - m_begin.calls;
    const size_t starts = sample.starts - m_previousBegin.starts;
    const size_t disturbances = sample.disturbances - m_previousBegin.disturbances;
    // A node that was replaced or retired reads on for some time.
    const size_t processes = std::max({ m_previousBegin.nodes, m_begin.nodes, sample.nodes }) + starts;
    const auto pause = disturbances > 0 ? meanPause : longestPause;
    const size_t reads = processes * (static_cast<size_t>(elapsed / pause) + edgeReads);
    const size_t pages = std::max(m_pages, m_previousPages);
    const size_t bound = reads * pages;
    const auto text = std::to_string(calls) + " range calls in " + std::to_string(toMilliseconds(elapsed))
        + " ms, bound " + std::to_string(bound) + " (" + std::to_string(reads) + " reads of " + std::to_string(pages)
        + " pages, " + std::to_string(starts) + " starts, " + std::to_string(disturbances) + " disturbances)";
    const double share = static_cast<double>(calls) / static_cast<double>(std::max<size_t>(bound, 1));
    if (share > m_closestShare) {
        m_closestShare = share;
        m_closest = text;
    }
    m_previousBegin = m_begin;
    m_begin = sample;
    m_beganAt = now;
    m_previousPages = std::exchange(m_pages, sample.pages);
    return calls > bound ? std::optional(text) : std::nullopt;
}

} // namespace cyclamenstair
