#include <Cyclamenstair/Telemetry/AuditTrail.h>

#include <Cyclamenstair/Telemetry/Log.h>

#include <algorithm>
#include <chrono>
#include <tuple>

namespace cyclamenstair {

namespace {

    uint64_t currentUnixMs()
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
    }

    void logEntry(const AuditEntry& entry)
    {
        logEvent(LogSeverity::Info, "audit",
            { { "sequence", std::to_string(entry.sequence) }, { "kind", std::string(nameOf(entry.kind)) },
                { "who", entry.actor }, { "what", entry.action },
                { "from_revision", std::to_string(entry.fromRevision) },
                { "to_revision", std::to_string(entry.toRevision) }, { "why", entry.reason } });
    }

} // namespace

AuditTrail::AuditTrail(std::string node, size_t capacity)
    : m_node(std::move(node))
    , m_capacity(capacity)
{
}

void AuditTrail::record(AuditEntry entry)
{
    entry.node = m_node;
    if (entry.atUnixMs == 0)
        entry.atUnixMs = currentUnixMs();
    std::lock_guard lock(m_mutex);
    entry.sequence = ++m_sequence;
    // Logged under the lock, so that log lines appear in sequence order.
    logEntry(entry);
    m_entries.push_back(std::move(entry));
    if (m_entries.size() > m_capacity)
        m_entries.pop_front();
}

std::vector<AuditEntry> AuditTrail::latest(size_t limit) const
{
    std::lock_guard lock(m_mutex);
    const auto count = static_cast<std::ptrdiff_t>(std::min(limit, m_entries.size()));
    return { m_entries.rbegin(), m_entries.rbegin() + count };
}

std::vector<AuditEntry> AuditTrail::merge(std::vector<AuditEntry> entries, size_t limit)
{
    std::sort(entries.begin(), entries.end(), [](const auto& a, const auto& b) {
        return std::tie(b.atUnixMs, b.node, b.sequence) < std::tie(a.atUnixMs, a.node, a.sequence);
    });
    entries.erase(std::unique(entries.begin(), entries.end()), entries.end());
    entries.resize(std::min(limit, entries.size()));
    return entries;
}

} // namespace cyclamenstair
