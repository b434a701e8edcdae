#include <Cyclamenstair/Entry/StoreRelay.h>

#include <Cyclamenstair/Peering/FrameChannel.h>
#include <Cyclamenstair/Telemetry/FailureGuard.h>
#include <Cyclamenstair/Telemetry/Log.h>

#include <algorithm>
#include <numeric>
#include <random>

namespace cyclamenstair {

namespace {

    /// Prefixes of the catalog, the targets, and the nodes with the lease holder.
    constexpr size_t prefixCount = 3;
    /// Time that a collector's watch waits for changes. A new member accepts only records that are at least as recent
    /// as its own.
    constexpr Duration collectorWatchWait = milliseconds(1500);
    /// Maximum size of the updates with all records of all prefixes. More would fill the queue of a channel.
    constexpr size_t maxSyncBytes = size_t { FrameChannel::maxFrameBytes } * 3 / 2;
    /// Upper bounds of the encoding of a record without its key and value, and of an update without its records.
    constexpr size_t encodedRecordBytes = 64;
    constexpr size_t encodedUpdateBytes = 1024;

    size_t encodedBytes(const StoreRecord& record)
    {
        return record.key.size() + record.value.size() + encodedRecordBytes;
    }

    bool fitsFrame(size_t bytes) { return bytes + encodedUpdateBytes <= FrameChannel::maxFrameBytes; }

    size_t encodedBytes(const StoreChanges& changes)
    {
        return std::accumulate(changes.changes.begin(), changes.changes.end(), size_t { 0 },
            [](size_t bytes, const auto& change) { return bytes + encodedBytes(change.record); });
    }

} // namespace

StoreRelay::StoreRelay(std::string nodeId)
    : m_nodeId(std::move(nodeId))
    , m_follower(prefixCount)
    , m_sequence((uint64_t { std::random_device {}() } << 32U) + 1)
{
}

void StoreRelay::add(StoreWatcher& watcher, std::string prefix)
{
    const size_t source = m_sources.size();
    m_sources.push_back({ &watcher, std::move(prefix), {}, 0 });
    watcher.setObserver([this, source](bool isFull, const StoreChanges& changes) { onRead(source, isFull, changes); });
}

uint64_t StoreRelay::sequence() const
{
    const bool isReachable = (!m_hasContact || m_hasContact())
        && std::all_of(
            m_sources.begin(), m_sources.end(), [](const auto& source) { return source.watcher->isWatching(); });
    return isReachable && !m_isTooLarge ? m_sequence : 0;
}

std::vector<StoreUpdate> StoreRelay::fullUpdates() const
{
    std::vector<StoreUpdate> updates;
    if (sequence() == 0)
        return updates;
    for (const auto& source : m_sources) {
        StoreUpdate update { m_nodeId, m_sequence, source.prefix, true, { {}, source.watcher->revision() } };
        for (const auto& [key, record] : source.records)
            update.changes.changes.push_back({ record, false });
        updates.push_back(std::move(update));
    }
    return updates;
}

bool StoreRelay::update(const std::string& collector, bool isCollecting, TimePoint now)
{
    if (m_onCollecting)
        m_onCollecting(isCollecting);
    m_role = isCollecting   ? StoreWatcherRole::Collector
        : collector.empty() ? StoreWatcherRole::Independent
                            : StoreWatcherRole::Follower;
    for (auto& source : m_sources) {
        source.watcher->setRole(m_role);
        source.watcher->setWatchWait(isCollecting ? collectorWatchWait : StoreWatcherSettings {}.watchWait);
    }
    m_follower.setCollector(collector);
    if (collector.empty()) {
        setWatching(true);
        return false;
    }
    setWatching(!m_follower.isCurrent(now));
    return m_follower.shouldRequestSync(now);
}

void StoreRelay::handle(const StoreUpdate& update)
{
    const auto source = std::find_if(
        m_sources.begin(), m_sources.end(), [&](const auto& candidate) { return candidate.prefix == update.prefix; });
    if (source == m_sources.end() || !m_follower.accept(update))
        return;
    const FailureGuard guard([this] { m_follower.markRejected(); });
    if (!source->watcher->follow(update.isFull, update.changes))
        m_follower.markRejected();
}

void StoreRelay::onRead(size_t sourceIndex, bool isFull, const StoreChanges& changes)
{
    auto& source = m_sources[sourceIndex];
    if (isFull) {
        source.records.clear();
        source.bytes = 0;
    }
    for (const auto& change : changes.changes) {
        if (const auto previous = source.records.find(change.record.key); previous != source.records.end()) {
            source.bytes -= encodedBytes(previous->second);
            source.records.erase(previous);
        }
        if (change.isDeleted)
            continue;
        source.bytes += encodedBytes(change.record);
        source.records[change.record.key] = change.record;
    }
    updateSizes();
    ++m_sequence;
    // The nodes of the group notice by the sequence number that they miss an update, and request all records.
    if (m_send && fitsFrame(encodedBytes(changes)))
        m_send({ m_nodeId, m_sequence, source.prefix, isFull, changes });
}

void StoreRelay::updateSizes()
{
    const bool wasTooLarge = m_isTooLarge;
    size_t total = 0;
    m_isTooLarge = false;
    for (const auto& source : m_sources) {
        total += source.bytes;
        m_isTooLarge = m_isTooLarge || !fitsFrame(source.bytes);
    }
    m_isTooLarge = m_isTooLarge || total > maxSyncBytes;
    if (m_isTooLarge != wasTooLarge)
        logEvent(LogSeverity::Warning, m_isTooLarge ? "store_records_too_large" : "store_records_fit",
            { { "node", m_nodeId }, { "bytes", std::to_string(total) } });
}

void StoreRelay::setWatching(bool isWatching)
{
    if (isWatching == m_isWatching)
        return;
    m_isWatching = isWatching;
    logEvent(LogSeverity::Info, isWatching ? "store_watch_resumed" : "store_watch_paused", { { "node", m_nodeId } });
    for (auto& source : m_sources) {
        if (isWatching) {
            source.watcher->resume();
        } else {
            source.watcher->pause();
            source.records.clear();
            source.bytes = 0;
        }
    }
    updateSizes();
}

} // namespace cyclamenstair
