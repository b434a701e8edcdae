#pragma once

#include <Cyclamenstair/Core/Time.h>

#include <optional>
#include <string>

namespace cyclamenstair {

/// Prefixes whose records a node reads: targets, catalog, control records and origins of streams.
constexpr size_t readPrefixCount = 4;

/// Returns an upper bound of the pages of a full read, if a page ends with the item that reaches one of the bounds.
constexpr size_t maxPageCount(size_t items, size_t bytes, size_t itemsPerPage, size_t bytesPerPage)
{
    return items / itemsPerPage + bytes / bytesPerPage + 1;
}

/// What happened at a store up to now.
struct StoreReadSample {
    size_t calls { 0 }; ///< Range calls so far.
    size_t pages { 0 }; ///< Largest number of pages of one full read of all prefixes since the last sample.
    size_t nodes { 0 }; ///< Of which each runs a process at most of the time.
    size_t starts { 0 }; ///< Of processes so far.
    /// Beginnings and ends of outages, compactions, returns to a copy, and writes of more than fits into the response
    /// to a watch, so far.
    size_t disturbances { 0 };
};

/// Compares the range calls in successive windows of some seconds with what full reads at the longest pause of a store
/// watcher (StoreWatcherSettings::maxRetryDelay) would need. A start permits the reads of a further process, and a
/// disturbance shorter pauses, in its window and in the next one. Belongs to one thread.
class StoreReadBound {
public:
    static constexpr Duration window = milliseconds(3000);

    /// Returns a description if a window has ended in which there were too many calls.
    std::optional<std::string> observe(TimePoint now, const StoreReadSample& sample);

    /// Returns the window with the largest part of its bound, as text.
    const std::string& closest() const { return m_closest; }

private:
    std::optional<TimePoint> m_beganAt;
    StoreReadSample m_begin; ///< Of the window.
    StoreReadSample m_previousBegin; ///< Of the window before.
    size_t m_pages { 0 };
    size_t m_previousPages { 0 };
    double m_closestShare { 0 };
    std::string m_closest { "no window" };
};

} // namespace cyclamenstair
