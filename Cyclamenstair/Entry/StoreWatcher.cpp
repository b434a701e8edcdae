#include <Cyclamenstair/Entry/StoreWatcher.h>

#include <Cyclamenstair/Core/Overloaded.h>
#include <Cyclamenstair/Telemetry/Log.h>

#include <algorithm>
#include <utility>

namespace cyclamenstair {

namespace {

    /// Time after which a full read is begun again if its outcome was lost. Longer than one of 6,900 targets by 50 a
    /// page, each within the store client's timeout of one call; a shorter time would never let a slow read end.
    constexpr Duration maxReadTime = milliseconds(150000);
    /// The same for a watch, beyond the time that it waits. Longer than the store client's timeout of one call.
    constexpr Duration maxWatchDelay = milliseconds(3000);

} // namespace

StoreWatcher::StoreWatcher(boost::asio::io_context& context, PlatformStore& store, std::string prefix,
    Handlers handlers, StoreWatcherSettings settings)
    : m_store(&store)
    , m_prefix(std::move(prefix))
    , m_handlers(std::move(handlers))
    , m_settings(settings)
    , m_listing(
          context, m_prefix,
          [this](const std::string& afterKey, std::function<void(StorePageOutcome)> handler) {
              m_store->readPage(m_prefix, afterKey, std::move(handler));
          },
          m_handlers.filter)
    , m_timer(context)
    , m_retryDelay(settings.retryDelay)
{
    m_store->addEraHandler([this] { onNewEra(); });
}

void StoreWatcher::start()
{
    m_startedAt = monotonicNow();
    read();
}

Duration StoreWatcher::watchInterval() const
{
    if (!isStarting())
        return m_settings.watchInterval;
    switch (m_role) {
    case StoreWatcherRole::Independent:
        return std::max(m_settings.watchInterval, m_settings.startWatchInterval);
    case StoreWatcherRole::Follower:
        return std::max(m_settings.watchInterval, m_settings.followerStartInterval);
    case StoreWatcherRole::Collector:
        break;
    }
    return m_settings.watchInterval;
}

void StoreWatcher::pause()
{
    if (m_isPaused)
        return;
    m_isPaused = true;
    ++m_generation;
    m_listing.cancel();
    boost::system::error_code ec;
    m_timer.cancel(ec);
}

void StoreWatcher::resume()
{
    if (!m_isPaused)
        return;
    m_isPaused = false;
    m_retryDelay = m_settings.retryDelay;
    read();
}

bool StoreWatcher::follow(bool isFull, const StoreChanges& changes)
{
    if (changes.revision < m_contentRevision)
        return false;
    m_revision = changes.revision;
    m_contentRevision = changes.revision;
    // Collectors of earlier builds pass on all records.
    auto used = changes.changes;
    removeUnused(used);
    if (isFull) {
        StoreRange range { {}, changes.revision };
        for (auto& change : used)
            range.records.push_back(std::move(change.record));
        m_handlers.onRead(range);
    } else {
        for (const auto& change : used)
            m_handlers.onChange(change);
    }
    return true;
}

void StoreWatcher::notifyObserver(const StoreRange& range)
{
    if (!m_observer)
        return;
    StoreChanges all { {}, range.revision };
    for (const auto& record : range.records)
        all.changes.push_back({ record, false });
    m_observer(true, all);
}

void StoreWatcher::read()
{
    // Before the call, as in watch(): an exception in it, or in the handling of its outcome, must not end the watching.
    scheduleNext(maxReadTime, &StoreWatcher::restart);
    const auto sentAt = suspendAwareNow();
    m_listing.read([this, generation = m_generation, sentAt](const StoreReadOutcome& outcome) {
        if (generation != m_generation)
            return;
        scheduleNext(m_retryDelay, &StoreWatcher::restart);
        // The pause also grows if the handler throws each time.
        const auto retryDelay = m_retryDelay;
        increaseRetryDelay();
        if (const auto* unavailable = std::get_if<StoreUnavailable>(&outcome)) {
            m_revision = 0;
            m_retryDelay = retryDelay;
            onFailure(unavailable->message);
            return;
        }
        const auto& range = std::get<StoreRange>(outcome);
        if (!m_isConnected)
            logEvent(LogSeverity::Warning, "store_regained", { { "prefix", m_prefix } });
        m_isConnected = true;
        m_revision = range.revision;
        m_contentRevision = range.revision;
        m_handlers.onRead(range);
        m_retryDelay = retryDelay;
        m_gapSince = std::exchange(m_confirmedAt, sentAt);
        notifyObserver(range);
        if (const auto firstWatchAt = m_startedAt + m_settings.firstWatchDelay; monotonicNow() < firstWatchAt)
            scheduleNext(firstWatchAt - monotonicNow(), &StoreWatcher::watchFirst);
        else
            watch();
    });
}

void StoreWatcher::restart()
{
    ++m_generation;
    read();
}

void StoreWatcher::watchFirst()
{
    const auto latestAt = m_startedAt + m_settings.followerStartInterval;
    if (m_role == StoreWatcherRole::Follower && monotonicNow() < latestAt)
        scheduleNext(latestAt - monotonicNow(), &StoreWatcher::watch);
    else
        watch();
}

void StoreWatcher::watch()
{
    const auto wait
        = m_isConfirming ? std::min(m_settings.watchWait, m_settings.confirmingWatchWait) : m_settings.watchWait;
    scheduleNext(wait + maxWatchDelay, &StoreWatcher::restart);
    m_store->watch(m_prefix, m_revision, wait,
        [this, generation = m_generation, sentAt = suspendAwareNow()](StoreWatchOutcome outcome) {
            if (generation != m_generation)
                return;
            scheduleNext(m_retryDelay, &StoreWatcher::restart);
            onWatch(std::move(outcome), sentAt);
        });
}

void StoreWatcher::onWatch(StoreWatchOutcome outcome, TimePoint sentAt)
{
    std::visit(Overloaded {
                   [&](StoreChanges& changes) { onChanges(std::move(changes), sentAt); },
                   [&](const StoreHistoryLost&) { onHistoryLost(); },
                   [&](const StoreUnavailable& unavailable) { onFailure(unavailable.message); },
               },
        outcome);
}

void StoreWatcher::onChanges(StoreChanges changes, TimePoint sentAt)
{
    if (!m_isConnected)
        logEvent(LogSeverity::Warning, "store_regained", { { "prefix", m_prefix } });
    m_isConnected = true;
    m_isHistoryLost = false;
    removeUnused(changes.changes);
    for (const auto& change : changes.changes)
        m_handlers.onChange(change);
    m_retryDelay = m_settings.retryDelay;
    m_confirmedAt = sentAt;
    m_revision = std::max(m_revision, changes.revision);
    if (!changes.changes.empty()) {
        m_contentRevision = m_revision;
        if (m_observer)
            m_observer(false, changes);
    }
    scheduleNext(watchInterval(), &StoreWatcher::watch);
}

void StoreWatcher::onHistoryLost()
{
    logEvent(LogSeverity::Warning, "store_history_lost",
        { { "prefix", m_prefix }, { "revision", std::to_string(m_revision) } });
    // A history that is lost again before a watch has succeeded would cause reads in quick succession.
    if (!std::exchange(m_isHistoryLost, true)) {
        read();
        return;
    }
    scheduleNext(m_retryDelay, &StoreWatcher::read);
    increaseRetryDelay();
}

void StoreWatcher::removeUnused(std::vector<StoreChange>& changes) const
{
    std::erase_if(changes, [this](auto& change) { return !change.isDeleted && !m_handlers.filter(change.record); });
}

void StoreWatcher::onFailure(const std::string& message)
{
    if (m_isConnected)
        logEvent(LogSeverity::Warning, "store_lost", { { "prefix", m_prefix }, { "message", message } });
    m_isConnected = false;
    // Entries may have expired during an outage without a change that a watch would report, so all are read again.
    scheduleNext(m_retryDelay, &StoreWatcher::read);
    increaseRetryDelay();
}

void StoreWatcher::increaseRetryDelay() { m_retryDelay = std::min(m_retryDelay * 2, m_settings.maxRetryDelay); }

void StoreWatcher::onNewEra()
{
    if (m_isPaused)
        return;
    // A pending watch waits for revisions of the lost history.
    ++m_generation;
    m_listing.cancel();
    boost::system::error_code ec;
    m_timer.cancel(ec);
    read();
}

void StoreWatcher::scheduleNext(Duration delay, void (StoreWatcher::*next)())
{
    m_timer.expires_after(delay);
    m_timer.async_wait([this, next, generation = m_generation](const boost::system::error_code& ec) {
        if (!ec && generation == m_generation)
            (this->*next)();
    });
}

} // namespace cyclamenstair
