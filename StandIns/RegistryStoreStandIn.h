#pragma once

#include <Cyclamenstair/Core/Random.h>
#include <Cyclamenstair/Http/EventLoop.h>
#include <Cyclamenstair/Http/ServerListener.h>
#include <StandIns/RegistryStoreMeter.h>

#include <nlohmann/json_fwd.hpp>

#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <set>

namespace cyclamenstair {

/// Bounds of a page of a range read. A page ends with the item that reaches one of them.
struct RegistryStorePage {
    size_t maxItems { 500 };
    size_t maxBytes { size_t { 1 } << 20U }; ///< Of keys and values.
};

/// Simulated key-value store of the platform: items with revisions, conditional transactions, leases and long-polling
/// watches. Implements the table of calls in docs/design/store-listings.md; a call with a malformed request gets status
/// 400. Runs on its own event loop. Thread-safe.
class RegistryStoreStandIn {
public:
    RegistryStoreStandIn();
    ~RegistryStoreStandIn();

    /// Returns the address as IP:PORT.
    std::string address() const { return m_address; }

    /// Opens a further address of the store, at which the entries of targets show other addresses. `addresses` maps
    /// the addresses in the entries to those shown. Returns the address as IP:PORT.
    std::string addView(std::map<std::string, std::string> addresses);

    /// Writes an item without a lease, as the operator or a target does. No limits apply. A key that is not valid UTF-8
    /// is shown to callers with U+FFFD in place of each malformed sequence, because the responses are JSON.
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    std::optional<std::string> value(const std::string& key);

    /// While the store is down, calls get status 503 and pending watches are disconnected.
    void setDown(bool isDown) { m_isDown = isDown; }

    /// While leases are paused, none runs out; the time does not count for them.
    void setLeasesPaused(bool arePaused);

    /// Sets the time after which calls are answered.
    void setDelay(Duration delay) { m_delay = delay; }

    /// Sets the share of the calls that are executed and get no answer.
    void setLostShare(double share) { m_lostShare = share; }

    /// Sets the addresses from addView() at which calls get status 503.
    void setRefusedViews(std::set<std::string> addresses);

    /// Sets the bounds of a page.
    void setPage(const RegistryStorePage& page);

    /// Sets the limits for the calls that follow.
    void setLimits(const RegistryStoreLimits& limits);

    /// Sets the share of the waiting watches that are disconnected, each at a random time before the end of its wait.
    void setCutWatchShare(double share) { m_cutWatchShare = share; }

    /// Discards the history: watches that continue from a revision before the current one get status 410.
    void compact();

    /// Keeps a copy of the whole state, for returnFromCopy().
    void keepCopy();
    /// Returns to the kept copy under a new era: later writes and leases are gone, and revisions and lease ids are
    /// given out again. Pending watches are disconnected. The leases of the copy run anew.
    void returnFromCopy();

    /// Returns how many watches were requested, without those that got status 429 or 503.
    size_t watchCallCount() const { return executedCallCount(RegistryStoreCallKind::Watch); }
    /// Returns how many pages of range reads were requested, without those that got status 429 or 503.
    size_t rangeCallCount() const
    {
        return executedCallCount(RegistryStoreCallKind::Range) + executedCallCount(RegistryStoreCallKind::StaleRange);
    }

    /// Counts of all calls.
    const RegistryStoreMeter& meter() const { return m_meter; }

private:
    struct Item {
        std::string value;
        int64_t revision { 0 };
        int64_t createdRevision { 0 };
        int64_t lease { 0 };
    };
    struct Change {
        std::string key;
        Item item;
        bool isDeleted { false };
        TimePoint time;
    };
    struct View {
        std::map<std::string, std::string> addresses; ///< Of targets by those in their entries.
        std::string address; ///< Of the store.
    };
    struct Watch {
        std::shared_ptr<ServerConnection> connection;
        const View* view { nullptr };
        std::string prefix;
        int64_t afterRevision { 0 };
        TimePoint deadline;
        std::optional<TimePoint> cutTime; ///< Of a watch that is to be disconnected.
    };
    struct Response {
        uint32_t status { 0 };
        std::string body;
    };
    struct Lease {
        Duration timeToLive {};
        TimePoint expiry;
    };
    /// What a return from an older copy takes back.
    struct State {
        std::map<std::string, Item> items;
        std::deque<Change> changes;
        std::map<int64_t, Lease> leases;
        int64_t revision { 1 };
        int64_t compactedRevision { 0 }; ///< Watches cannot continue from an earlier one.
        int64_t nextLease { 1000 };
    };

    std::unique_ptr<ServerListener> createListener(const std::string& address, const View* view);
    void handle(const std::shared_ptr<ServerConnection>& connection, const HttpRequest& request, const View* view);
    /// Executes a call; no value if the response follows later.
    std::optional<Response> execute(
        const std::shared_ptr<ServerConnection>& connection, const RegistryStoreCall& call, const View* view);
    Response read(const std::string& key, const View* view);
    /// Returns the page of the items below the prefix that begins after the key `after`.
    Response range(const std::string& prefix, const std::string& after, const View* view);
    /// Returns a response if the history before the watch is not available.
    std::optional<Response> addWatch(
        const std::shared_ptr<ServerConnection>& connection, const StoreWatchRead& watch, const View* view);
    Response transact(const StoreTransactionCall& transaction, const View* view);
    Response grantLease(int64_t ttlMs);
    Response renewLease(int64_t lease);
    Response endLease(int64_t lease);
    /// Returns the value of an item, encoded, as a view shows it.
    static std::string encodeValue(const std::string& key, const std::string& value, const View* view);
    static nlohmann::json encodeItem(const std::string& key, const Item& item, const View* view);
    void write(const std::string& key, const std::string& value, int64_t lease);
    void erase(const std::string& key);
    void eraseLeases(const std::function<bool(int64_t id, const Lease&)>& isEnded);
    void tick();
    /// Drops the changes that are older than the history's bound, and those that compact() has discarded.
    void trimHistory(TimePoint now);
    /// Responds to a watch that has events or has reached its deadline; returns whether it is finished.
    bool respondToWatch(const Watch& watch);
    void respond(
        const std::shared_ptr<ServerConnection>& connection, RegistryStoreCallKind kind, const Response& response);
    size_t executedCallCount(RegistryStoreCallKind kind) const;

    EventLoop m_loop;
    boost::asio::steady_timer m_timer;
    const View m_directView {}; ///< Of m_listener; without addresses.
    std::unique_ptr<ServerListener> m_listener;
    std::string m_address;
    std::atomic<bool> m_isDown { false };
    RegistryStoreMeter m_meter;
    std::atomic<Duration> m_delay { Duration {} };
    std::atomic<double> m_lostShare { 0 };
    std::atomic<double> m_cutWatchShare { 0 };
    std::mutex m_mutex; ///< Guards all members below; public functions change the items from other threads.
    State m_state;
    State m_copy;
    RegistryStorePage m_page;
    RegistryStoreLimits m_limits;
    Random m_random { 1 };
    bool m_areLeasesPaused { false };
    TimePoint m_tickedAt;
    std::set<std::string> m_refusedViews;
    std::vector<Watch> m_watches;
    std::deque<View> m_views; ///< Their references stay valid; entries are never changed or removed.
    std::vector<std::unique_ptr<ServerListener>> m_viewListeners;
    int64_t m_era { 1 }; ///< Stated in all answers.
};

} // namespace cyclamenstair
