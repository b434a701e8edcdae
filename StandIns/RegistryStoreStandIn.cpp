#include <StandIns/RegistryStoreStandIn.h>

#include <StandIns/LoopbackPort.h>

#include <Cyclamenstair/Core/Base64.h>
#include <Cyclamenstair/Core/Overloaded.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace cyclamenstair {

namespace {

    using Json = nlohmann::json;

    constexpr uint32_t ok = 200;
    constexpr uint32_t badRequest = 400;
    constexpr uint32_t notFound = 404;
    constexpr uint32_t gone = 410;
    constexpr uint32_t conditionFailed = 412;
    constexpr uint32_t tooManyRequests = 429;
    constexpr uint32_t unavailable = 503;
    constexpr Duration tickInterval = milliseconds(5);
    /// Holds a transaction with the most and longest values, so that the protocol's limits decide.
    constexpr uint64_t maxBodyBytes = 48'000'000;

    /// Replaces malformed UTF-8, which a key may contain, instead of throwing.
    std::string encode(const Json& json) { return json.dump(-1, ' ', false, Json::error_handler_t::replace); }

    std::string encodeError(const std::string& reason) { return encode({ { "error", reason } }); }

} // namespace

RegistryStoreStandIn::RegistryStoreStandIn()
    : m_timer(m_loop.context())
    , m_address(allocateLoopbackAddress())
{
    m_listener = createListener(m_address, &m_directView);
    m_loop.post([this] { tick(); });
    m_loop.start();
}

RegistryStoreStandIn::~RegistryStoreStandIn() { m_loop.stop(); }

std::string RegistryStoreStandIn::addView(std::map<std::string, std::string> addresses)
{
    auto address = allocateLoopbackAddress();
    std::lock_guard lock(m_mutex);
    m_viewListeners.push_back(createListener(address, &m_views.emplace_back(View { std::move(addresses), address })));
    return address;
}

std::unique_ptr<ServerListener> RegistryStoreStandIn::createListener(const std::string& address, const View* view)
{
    auto listener = ServerListener::create(
        address, { &m_loop }, [] { return ServerConnectionLimits { .maxBodyBytes = maxBodyBytes }; },
        [this, view](size_t, const std::shared_ptr<ServerConnection>& connection, const HttpRequest& request) {
            handle(connection, request, view);
        });
    if (const auto error = listener.value()->listen())
        throw Exception(*error);
    listener.value()->start();
    return std::move(listener).value();
}

std::string RegistryStoreStandIn::encodeValue(const std::string& key, const std::string& value, const View* view)
{
    if (view->addresses.empty() || !key.starts_with("servers/"))
        return encodeBase64(value);
    auto entry = Json::parse(value, nullptr, false);
    if (!entry.is_object() || !entry.contains("address") || !entry["address"].is_string())
        return encodeBase64(value);
    const auto shown = view->addresses.find(entry["address"].get<std::string>());
    if (shown != view->addresses.end())
        entry["address"] = shown->second;
    return encodeBase64(entry.dump());
}

void RegistryStoreStandIn::put(const std::string& key, const std::string& value)
{
    std::lock_guard lock(m_mutex);
    write(key, value, 0);
}

void RegistryStoreStandIn::remove(const std::string& key)
{
    std::lock_guard lock(m_mutex);
    erase(key);
}

std::optional<std::string> RegistryStoreStandIn::value(const std::string& key)
{
    std::lock_guard lock(m_mutex);
    const auto item = m_state.items.find(key);
    return item == m_state.items.end() ? std::nullopt : std::optional(item->second.value);
}

void RegistryStoreStandIn::setLeasesPaused(bool arePaused)
{
    std::lock_guard lock(m_mutex);
    m_areLeasesPaused = arePaused;
}

void RegistryStoreStandIn::setRefusedViews(std::set<std::string> addresses)
{
    std::lock_guard lock(m_mutex);
    m_refusedViews = std::move(addresses);
}

void RegistryStoreStandIn::setPage(const RegistryStorePage& page)
{
    std::lock_guard lock(m_mutex);
    m_page = page;
}

void RegistryStoreStandIn::setLimits(const RegistryStoreLimits& limits)
{
    std::lock_guard lock(m_mutex);
    m_limits = limits;
}

size_t RegistryStoreStandIn::executedCallCount(RegistryStoreCallKind kind) const
{
    return m_meter.callCount(kind) - m_meter.statusCount(kind, unavailable)
        - m_meter.statusCount(kind, tooManyRequests);
}

void RegistryStoreStandIn::compact()
{
    std::lock_guard lock(m_mutex);
    m_state.compactedRevision = m_state.revision;
}

void RegistryStoreStandIn::keepCopy()
{
    std::lock_guard lock(m_mutex);
    m_copy = m_state;
}

void RegistryStoreStandIn::returnFromCopy()
{
    std::lock_guard lock(m_mutex);
    m_state = m_copy;
    for (auto& [id, lease] : m_state.leases)
        lease.expiry = monotonicNow() + lease.timeToLive;
    ++m_era;
    for (const auto& watch : std::exchange(m_watches, {}))
        m_loop.post([connection = watch.connection] { connection->abort(); });
}

void RegistryStoreStandIn::respond(
    const std::shared_ptr<ServerConnection>& connection, RegistryStoreCallKind kind, const Response& response)
{
    m_meter.countStatus(kind, response.status);
    const HttpResponseHead head { response.status, {},
        { { "Content-Type", "application/json" }, { "Store-Era", std::to_string(m_era) } } };
    if (randomUnit(m_random) < m_lostShare)
        return;
    const auto delay = m_delay.load();
    if (delay <= Duration {}) {
        connection->sendResponse(head, response.body);
        return;
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_loop.context(), delay);
    timer->async_wait([timer, connection, head, body = response.body](const boost::system::error_code& ec) {
        if (!ec)
            connection->sendResponse(head, body);
    });
}

void RegistryStoreStandIn::handle(
    const std::shared_ptr<ServerConnection>& connection, const HttpRequest& request, const View* view)
{
    const auto decoded = decodeStoreCall(request);
    std::lock_guard lock(m_mutex);
    const auto now = monotonicNow();
    m_meter.countCall(decoded.kind, now);
    std::optional<Response> response;
    if (m_isDown || m_refusedViews.contains(view->address))
        response = { unavailable, "{}" };
    else if (!m_meter.admit(decoded.kind, m_limits, now))
        response = { tooManyRequests, "{}" };
    else if (!decoded.call)
        response = { decoded.kind == RegistryStoreCallKind::Unknown ? notFound : badRequest,
            encodeError(decoded.call.error().message) };
    else if (const auto rejection = checkLimits(decoded.call.value(), m_limits))
        response = { rejection->status, encodeError(rejection->reason) };
    else
        response = execute(connection, decoded.call.value(), view);
    if (response)
        respond(connection, decoded.kind, *response);
}

std::optional<RegistryStoreStandIn::Response> RegistryStoreStandIn::execute(
    const std::shared_ptr<ServerConnection>& connection, const RegistryStoreCall& call, const View* view)
{
    using Outcome = std::optional<Response>;
    return std::visit(
        Overloaded {
            [&](const StoreKeyRead& key) -> Outcome { return read(key.key, view); },
            [&](const StoreRangeRead& page) -> Outcome { return range(page.prefix, page.after, view); },
            [&](const StoreWatchRead& watch) { return addWatch(connection, watch, view); },
            [&](const StoreTransactionCall& transaction) -> Outcome { return transact(transaction, view); },
            [&](const StoreLeaseGrant& grant) -> Outcome { return grantLease(grant.ttlMs); },
            [&](const StoreLeaseRenewal& renewal) -> Outcome { return renewLease(renewal.lease); },
            [&](const StoreLeaseEnd& end) -> Outcome { return endLease(end.lease); },
        },
        call);
}

nlohmann::json RegistryStoreStandIn::encodeItem(const std::string& key, const Item& item, const View* view)
{
    return { { "key", key }, { "value", encodeValue(key, item.value, view) }, { "revision", item.revision },
        { "created_rev", item.createdRevision }, { "lease", item.lease } };
}

RegistryStoreStandIn::Response RegistryStoreStandIn::read(const std::string& key, const View* view)
{
    const auto item = m_state.items.find(key);
    const bool exists = item != m_state.items.end();
    auto json = exists ? encodeItem(key, item->second, view) : Json::object();
    json["store_revision"] = m_state.revision;
    return { exists ? ok : notFound, encode(json) };
}

std::optional<RegistryStoreStandIn::Response> RegistryStoreStandIn::addWatch(
    const std::shared_ptr<ServerConnection>& connection, const StoreWatchRead& watch, const View* view)
{
    if (watch.afterRevision > m_state.revision || watch.afterRevision < m_state.compactedRevision)
        return Response { gone, "{}" };
    const auto now = monotonicNow();
    const auto wait = milliseconds(watch.waitMs);
    std::optional<TimePoint> cutTime;
    if (m_cutWatchShare > 0 && randomUnit(m_random) < m_cutWatchShare)
        cutTime = now + std::chrono::duration_cast<Duration>(wait * randomUnit(m_random));
    m_watches.push_back({ connection, view, watch.prefix, watch.afterRevision, now + wait, cutTime });
    return std::nullopt;
}

RegistryStoreStandIn::Response RegistryStoreStandIn::range(
    const std::string& prefix, const std::string& after, const View* view)
{
    Json items = Json::array();
    size_t bytes = 0;
    bool hasMore = false;
    const auto& all = m_state.items;
    for (auto item = after < prefix ? all.lower_bound(prefix) : all.upper_bound(after);
         item != all.end() && item->first.starts_with(prefix); ++item) {
        if (items.size() >= m_page.maxItems || bytes >= m_page.maxBytes) {
            hasMore = true;
            break;
        }
        const auto& [key, entry] = *item;
        bytes += key.size() + entry.value.size();
        items.push_back(encodeItem(key, entry, view));
    }
    return { ok, encode({ { "items", items }, { "has_more", hasMore }, { "store_revision", m_state.revision } }) };
}

RegistryStoreStandIn::Response RegistryStoreStandIn::transact(const StoreTransactionCall& transaction, const View* view)
{
    bool isConditionMet = true;
    Json conflicts = Json::array();
    for (const auto& condition : transaction.conditions) {
        const auto item = m_state.items.find(condition.key);
        const bool exists = item != m_state.items.end();
        if ((exists ? item->second.revision : 0) == condition.revision)
            continue;
        isConditionMet = false;
        if (exists)
            conflicts.push_back(encodeItem(condition.key, item->second, view));
    }
    if (!isConditionMet)
        return { conditionFailed, encode({ { "items", conflicts } }) };
    // Checked before the first write, so that the transaction stays atomic.
    for (const auto& write : transaction.writes) {
        if (write.lease != 0 && !m_state.leases.contains(write.lease))
            return { notFound, "{}" };
    }
    for (const auto& put : transaction.writes)
        write(put.key, put.value, put.lease);
    for (const auto& key : transaction.removals)
        erase(key);
    return { ok, encode({ { "revision", m_state.revision } }) };
}

RegistryStoreStandIn::Response RegistryStoreStandIn::grantLease(int64_t ttlMs)
{
    const auto lease = m_state.nextLease++;
    m_state.leases[lease] = { milliseconds(ttlMs), monotonicNow() + milliseconds(ttlMs) };
    return { ok, encode({ { "lease", lease }, { "ttl_ms", ttlMs } }) };
}

RegistryStoreStandIn::Response RegistryStoreStandIn::renewLease(int64_t lease)
{
    const auto entry = m_state.leases.find(lease);
    if (entry == m_state.leases.end())
        return { notFound, "{}" };
    entry->second.expiry = monotonicNow() + entry->second.timeToLive;
    return { ok, encode({ { "ttl_ms", toMilliseconds(entry->second.timeToLive) } }) };
}

RegistryStoreStandIn::Response RegistryStoreStandIn::endLease(int64_t lease)
{
    if (!m_state.leases.contains(lease))
        return { notFound, "{}" };
    eraseLeases([&](int64_t id, const Lease&) { return id == lease; });
    return { ok, "{}" };
}

void RegistryStoreStandIn::write(const std::string& key, const std::string& value, int64_t lease)
{
    auto& item = m_state.items[key];
    ++m_state.revision;
    item = { value, m_state.revision, item.createdRevision == 0 ? m_state.revision : item.createdRevision, lease };
    m_state.changes.push_back({ key, item, false, monotonicNow() });
}

void RegistryStoreStandIn::erase(const std::string& key)
{
    if (m_state.items.erase(key) == 0)
        return;
    ++m_state.revision;
    m_state.changes.push_back({ key, { {}, m_state.revision, 0, 0 }, true, monotonicNow() });
}

void RegistryStoreStandIn::eraseLeases(const std::function<bool(int64_t id, const Lease&)>& isEnded)
{
    std::vector<std::string> keys;
    for (const auto& [key, item] : m_state.items) {
        const auto lease = m_state.leases.find(item.lease);
        if (lease != m_state.leases.end() && isEnded(lease->first, lease->second))
            keys.push_back(key);
    }
    for (const auto& key : keys)
        erase(key);
    std::erase_if(m_state.leases, [&](const auto& lease) { return isEnded(lease.first, lease.second); });
}

void RegistryStoreStandIn::trimHistory(TimePoint now)
{
    auto& changes = m_state.changes;
    if (m_limits.maxHistoryAge) {
        for (const auto& change : changes) {
            if (now - change.time <= *m_limits.maxHistoryAge)
                break;
            m_state.compactedRevision = std::max(m_state.compactedRevision, change.item.revision);
        }
    }
    while (!changes.empty() && changes.front().item.revision <= m_state.compactedRevision)
        changes.pop_front();
}

void RegistryStoreStandIn::tick()
{
    {
        std::lock_guard lock(m_mutex);
        const auto now = monotonicNow();
        const auto elapsed = now - std::exchange(m_tickedAt, now);
        for (auto& [id, lease] : m_state.leases)
            lease.expiry += m_areLeasesPaused ? elapsed : Duration {};
        eraseLeases([&](int64_t, const Lease& lease) { return lease.expiry <= now; });
        std::erase_if(m_watches, [this](const Watch& watch) { return respondToWatch(watch); });
        // After the waiting watches have got the changes that were made since the last tick.
        trimHistory(now);
    }
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([this](const boost::system::error_code& ec) {
        if (!ec)
            tick();
    });
}

bool RegistryStoreStandIn::respondToWatch(const Watch& watch)
{
    const auto now = monotonicNow();
    if (m_isDown || m_refusedViews.contains(watch.view->address) || (watch.cutTime && *watch.cutTime <= now)) {
        watch.connection->abort();
        return true;
    }
    Json events = Json::array();
    const auto& changes = m_state.changes;
    const auto revisionOf = [](const Change& change) { return change.item.revision; };
    for (auto change = std::ranges::upper_bound(changes, watch.afterRevision, {}, revisionOf); change != changes.end();
         ++change) {
        if (!change->key.starts_with(watch.prefix))
            continue;
        if (change->isDeleted)
            events.push_back({ { "key", change->key }, { "revision", change->item.revision }, { "deleted", true } });
        else
            events.push_back(encodeItem(change->key, change->item, watch.view));
    }
    if (events.empty() && now < watch.deadline)
        return false;
    respond(watch.connection, RegistryStoreCallKind::Watch,
        { ok, encode({ { "events", events }, { "store_revision", m_state.revision } }) });
    return true;
}

} // namespace cyclamenstair
