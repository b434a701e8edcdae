#include <Cyclamenstair/Entry/TargetFollower.h>

#include <Cyclamenstair/Telemetry/Log.h>

#include <platform/PlatformKeys.h>
#include <platform/TargetCodec.h>

namespace cyclamenstair {

TargetFollower::TargetFollower(boost::asio::io_context& context, PlatformStore& store, EntryState& state)
    : m_state(&state)
    , m_follower(context, store, targetPrefix(),
          { [this](const StoreRange& range) { onRead(range); },
              [this](const StoreChange& change) { onChange(change); } })
{
}

void TargetFollower::take(const std::vector<TargetEntry>& entries)
{
    if (!m_state->areTargetsKnown)
        replaceAll(entries, 0);
}

std::vector<TargetEntry> TargetFollower::entries() const
{
    std::vector<TargetEntry> entries;
    for (const auto& [id, entry] : m_entries)
        entries.push_back(entry);
    return entries;
}

void TargetFollower::onRead(const StoreRange& range)
{
    std::vector<TargetEntry> entries;
    for (const auto& stored : range.records) {
        if (const auto id = targetIdOf(stored.key))
            entries.push_back({ *id, stored.value, stored.modRevision });
    }
    replaceAll(std::move(entries), range.revision);
}

void TargetFollower::replaceAll(std::vector<TargetEntry> entries, int64_t revision)
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
    m_state->targets.replaceAll(records, revision);
    m_state->areTargetsKnown = true;
}

void TargetFollower::onChange(const StoreChange& change)
{
    const auto& stored = change.record;
    const auto id = targetIdOf(stored.key);
    if (!id)
        return;
    const auto revision = std::to_string(stored.modRevision);
    if (change.isDeleted) {
        m_state->targets.remove(*id, stored.modRevision);
        m_entries.erase(*id);
        logEvent(LogSeverity::Info, "target_gone", { { "target", *id }, { "revision", revision } });
        return;
    }
    const auto record = decodeTarget(*id, stored.value);
    if (!record) {
        logError(LogSeverity::Warning, "target_entry_rejected", record.error());
        return;
    }
    m_state->targets.update(record.value(), stored.modRevision);
    m_entries[*id] = { *id, stored.value, stored.modRevision };
    logEvent(LogSeverity::Info, "target_entry",
        { { "target", *id }, { "phase", std::string(nameOf(record.value().phase)) },
            { "address", record.value().address }, { "models", std::to_string(record.value().models.size()) },
            { "revision", revision } });
}

} // namespace cyclamenstair
