#include <Cyclamenstair/Entry/TargetWatcher.h>

#include <Cyclamenstair/Telemetry/Log.h>

#include <platform/PlatformKeys.h>
#include <platform/TargetCodec.h>

namespace cyclamenstair {

namespace {

    /// Longer entries are shortened to the fields that are used. Those of targets are about 1 KB.
    constexpr size_t maxUnchangedBytes = size_t { 4 } << 10U;
    /// Longer entries name no target, even if shortened.
    constexpr size_t maxEntryBytes = size_t { 64 } << 10U;
    /// Rejected entries that are remembered. Further ones share the limit of one peer's log lines.
    constexpr size_t maxRejectedEntries = 1000;
    /// Decoded entries that are kept until they are applied; a read that fails leaves them behind.
    constexpr size_t maxDecodedEntries = 10000;

} // namespace

TargetWatcher::TargetWatcher(boost::asio::io_context& context, PlatformStore& store, EntryState& state)
    : m_state(&state)
    , m_watcher(context, store, targetPrefix(),
          { [this](const StoreRange& range) { onRead(range); }, [this](const StoreChange& change) { onChange(change); },
              [this](StoreRecord& record) { return accept(record); } })
{
}

bool TargetWatcher::accept(StoreRecord& record)
{
    const auto rejectFor = [&](const std::string& message) {
        reject(record, { ErrorKind::InvalidInput, "target.decode", record.key, message });
        return false;
    };
    const auto id = targetIdFromKey(record.key);
    if (!id)
        return rejectFor("the id is empty or not printable");
    auto target = decodeTarget(*id, record.value);
    if (!target) {
        reject(record, target.error());
        return false;
    }
    if (record.value.size() > maxUnchangedBytes)
        record.value = encodeTarget(target.value());
    if (record.value.size() > maxEntryBytes)
        return rejectFor("the entry is too long");
    m_rejected.erase(record.key);
    if (m_decoded.size() >= maxDecodedEntries)
        m_decoded.clear();
    m_decoded.insert_or_assign(*id, std::pair(record.modRevision, std::move(target).value()));
    return true;
}

void TargetWatcher::reject(const StoreRecord& record, Error error)
{
    if (m_rejected.size() >= maxRejectedEntries && !m_rejected.contains(record.key))
        error.peer = "others";
    else if (std::exchange(m_rejected[record.key], record.modRevision) == record.modRevision)
        return;
    logError(LogSeverity::Warning, "target_entry_rejected", error);
}

Result<TargetRecord> TargetWatcher::decode(const TargetEntry& entry)
{
    auto decoded = m_decoded.extract(entry.id);
    if (decoded && decoded.mapped().first == entry.revision)
        return std::move(decoded.mapped().second);
    return decodeTarget(entry.id, entry.entry);
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
        auto record = decode(entry);
        if (!record) {
            logError(LogSeverity::Warning, "target_entry_rejected", record.error());
            continue;
        }
        records.emplace_back(std::move(record).value(), entry.revision);
        m_entries[entry.id] = std::move(entry);
    }
    m_decoded.clear();
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
        m_rejected.erase(storeRecord.key);
        if (m_entries.erase(*id) > 0)
            logEvent(LogSeverity::Info, "target_gone", { { "target", *id }, { "revision", revision } });
        return;
    }
    const auto record = decode({ *id, storeRecord.value, storeRecord.modRevision });
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
