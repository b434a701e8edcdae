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

void TargetFollower::onRead(const StoreRange& range)
{
    std::vector<std::pair<TargetRecord, int64_t>> records;
    for (const auto& stored : range.records) {
        const auto id = targetIdOf(stored.key);
        if (!id)
            continue;
        auto record = decodeTarget(*id, stored.value);
        if (record)
            records.emplace_back(std::move(record).value(), stored.modRevision);
        else
            logError(LogSeverity::Warning, "target_entry_rejected", record.error());
    }
    logEvent(LogSeverity::Info, "targets_read",
        { { "targets", std::to_string(records.size()) }, { "revision", std::to_string(range.revision) } });
    m_state->targets.replaceAll(records, range.revision);
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
        logEvent(LogSeverity::Info, "target_gone", { { "target", *id }, { "revision", revision } });
        return;
    }
    const auto record = decodeTarget(*id, stored.value);
    if (!record) {
        logError(LogSeverity::Warning, "target_entry_rejected", record.error());
        return;
    }
    m_state->targets.update(record.value(), stored.modRevision);
    logEvent(LogSeverity::Info, "target_entry",
        { { "target", *id }, { "phase", std::string(nameOf(record.value().phase)) },
            { "address", record.value().address }, { "models", std::to_string(record.value().models.size()) },
            { "revision", revision } });
}

} // namespace cyclamenstair
