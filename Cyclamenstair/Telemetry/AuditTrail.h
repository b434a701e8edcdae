#pragma once

#include <Cyclamenstair/Telemetry/AuditEntry.h>

#include <deque>
#include <mutex>
#include <vector>

namespace cyclamenstair {

/// Holds the latest changes that this node made or activated, and logs each of them. Thread-safe.
///
/// All entries share one lock, because they form one sequence and are written at most a few times per second.
class AuditTrail {
public:
    static constexpr size_t defaultCapacity = 500;

    explicit AuditTrail(std::string node, size_t capacity = defaultCapacity);

    /// Adds an entry and logs it. Sets its node, its sequence number and, if it is 0, its time.
    void record(AuditEntry entry);

    /// Returns the latest entries, newest first, at most `limit`.
    std::vector<AuditEntry> latest(size_t limit) const;

    /// Merges entries of several nodes, newest first, at most `limit`. Duplicate entries are removed.
    static std::vector<AuditEntry> merge(std::vector<AuditEntry> entries, size_t limit);

private:
    std::string m_node;
    size_t m_capacity;
    mutable std::mutex m_mutex;
    uint64_t m_sequence { 0 };
    std::deque<AuditEntry> m_entries;
};

} // namespace cyclamenstair
