#pragma once

#include <Cyclamenstair/Http/EventLoop.h>
#include <Cyclamenstair/Http/ServerListener.h>

#include <atomic>
#include <deque>
#include <map>
#include <mutex>

namespace cyclamenstair {

/// Stand-in of the platform's key-value store: items with revisions, transactions under conditions, leases, and watches
/// that wait. Runs on its own event loop; the public functions can be called from any thread.
class RegistryStoreStandIn {
public:
    RegistryStoreStandIn();
    ~RegistryStoreStandIn();

    /// Address as IP:PORT.
    std::string address() const { return m_address; }

    /// Writes an item as the operator or a target does.
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    std::optional<std::string> value(const std::string& key);

    /// While down, calls are answered 503 and waiting watches are cut.
    void setDown(bool isDown) { m_isDown = isDown; }

private:
    struct Item {
        std::string value;
        int64_t revision { 0 };
        int64_t created { 0 };
        int64_t lease { 0 };
    };
    struct Change {
        std::string key;
        Item item;
        bool isDeleted { false };
    };
    struct Watch {
        std::shared_ptr<ServerConnection> caller;
        std::string prefix;
        int64_t after { 0 };
        TimePoint until;
    };
    struct Lease {
        Duration timeToLive {};
        TimePoint expiry;
    };

    void handle(const std::shared_ptr<ServerConnection>& caller, const HttpRequest& request);
    std::pair<uint32_t, std::string> range(const std::string& prefix);
    std::pair<uint32_t, std::string> transact(const std::string& body);
    std::pair<uint32_t, std::string> grant(const std::string& body);
    std::pair<uint32_t, std::string> keepAlive(int64_t lease);
    void write(const std::string& key, const std::string& value, int64_t lease);
    void erase(const std::string& key);
    void tick();
    bool answerWatch(const Watch& watch);

    EventLoop m_loop;
    boost::asio::steady_timer m_timer;
    std::unique_ptr<ServerListener> m_listener;
    std::string m_address;
    std::atomic<bool> m_isDown { false };
    std::mutex m_mutex; ///< Guards the items, which the public functions change from other threads.
    std::map<std::string, Item> m_items;
    std::deque<Change> m_changes;
    std::map<int64_t, Lease> m_leases;
    std::vector<Watch> m_watches;
    int64_t m_revision { 1 };
    int64_t m_nextLease { 1000 };
};

} // namespace cyclamenstair
