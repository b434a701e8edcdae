#include <Cyclamenstair/Entry/TargetWatcher.h>

#include <Cyclamenstair/Telemetry/Log.h>

#include <platform/PlatformKeys.h>
#include <platform/TargetCodec.h>

namespace cyclamenstair {

TargetWatcher::TargetWatcher(boost::asio::io_context& context, PlatformStore& store, EntryState& state)
    : m_state(&state)
    , m_watcher(context, store, targetPrefix(),
          { [this](const StoreRange& range) { onRead(range); },
              [this](const StoreChange& change) { onChange(change); } })
{
}

void TargetWatcher::apply(const std::vector<TargetEntry>& entries)
{
    if (!m_state->areTargetsKnown)
        replaceAll(entries, 0);
}

std::vector<TargetEntry> TargetWatcher::entries() const
{
    std::vector<TargetEntry> entries;
    for (const auto& [id, entry] : m_entries)
        entries.push_back(entry);
    return entries;
}

void TargetWatcher::onRead(const StoreRange& range)
{
    std::vector<TargetEntry> entries;
    for (const auto& storeRecord : range.records) {
        if (const auto id = targetIdFromKey(storeRecord.key))
            entries.push_back({ *id, storeRecord.value, storeRecord.modRevision });
    }
    replaceAll(std::move(entries), range.revision);
}

void TargetWatcher::replaceAll(std::vector<TargetEntry> entries, int64_t revision)
{
    std::vector<std::pair<TargetRecord, int64_t>> records;
    m_entries.clear();
    for (auto& entry : entries) {
        auto record = decodeTarget(entry.id, entry.entry);
        if (!record) {
            logError(LogSeverity::Warning, "target_entry_rejected", record.error());
            continue;
        }
        records.emplace_back(std::move(record).value(), entry.revision);
        m_entries[entry.id] = std::move(entry);
    }
    logEvent(LogSeverity::Info, "targets_read",
        { { "targets", std::to_string(records.size()) }, { "revision", std::to_string(revision) } });
    m_state->targets.replaceAll(
        records, revision, m_state->areTargetsKnown ? std::optional(monotonicNow()) : std::nullopt);
    m_state->areTargetsKnown = true;
}

void TargetWatcher::onChange(const StoreChange& change)
{
    const auto& storeRecord = change.record;
    const auto id = targetIdFromKey(storeRecord.key);
    if (!id)
        return;
    const auto revision = std::to_string(storeRecord.modRevision);
    if (change.isDeleted) {
        m_state->targets.remove(*id, storeRecord.modRevision);
        m_entries.erase(*id);
        logEvent(LogSeverity::Info, "target_gone", { { "target", *id }, { "revision", revision } });
        return;
    }
    const auto record = decodeTarget(*id, storeRecord.value);
    if (!record) {
        logError(LogSeverity::Warning, "target_entry_rejected", record.error());
        return;
    }
    m_state->targets.update(record.value(), storeRecord.modRevision, monotonicNow());
    // The target may leave before the versions are looked for.
    m_state->versions.observe({ record.value().service, record.value().softwareVersion }, monotonicNow());
    m_entries[*id] = { *id, storeRecord.value, storeRecord.modRevision };
    logEvent(LogSeverity::Info, "target_entry",
        { { "target", *id }, { "phase", std::string(nameOf(record.value().phase)) },
            { "address", record.value().address }, { "models", std::to_string(record.value().models.size()) },
            { "revision", revision } });
}

} // namespace cyclamenstair
