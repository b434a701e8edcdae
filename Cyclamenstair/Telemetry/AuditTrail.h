#pragma once

#include <Cyclamenstair/Telemetry/AuditEntry.h>

#include <deque>
#include <mutex>
#include <vector>

namespace cyclamenstair {

/// The last changes that this node made or put in force, with a log line for each. Callable from many threads.
///
/// One lock covers all entries, because they form one sequence and are written a few times a second at most.
class AuditTrail {
public:
    static constexpr size_t defaultCapacity = 500;

    explicit AuditTrail(std::string node, size_t capacity = defaultCapacity);

    /// Adds an entry and logs it. Node, sequence and, if it is 0, the time are set here.
    void record(AuditEntry entry);

    /// Returns the last entries, the latest first.
    std::vector<AuditEntry> latest(size_t limit) const;

    /// Merges entries of several nodes, the latest first, at most `limit`; entries that appear twice are kept once.
    static std::vector<AuditEntry> merge(std::vector<AuditEntry> entries, size_t limit);

private:
    std::string m_node;
    size_t m_capacity;
    mutable std::mutex m_mutex;
    uint64_t m_sequence { 0 };
    std::deque<AuditEntry> m_entries;
};

} // namespace cyclamenstair
