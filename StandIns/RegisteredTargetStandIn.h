#pragma once

#include <Cyclamenstair/Core/EnumNames.h>
#include <Cyclamenstair/Http/EventLoop.h>
#include <Cyclamenstair/Http/ServerListener.h>

#include <atomic>
#include <map>
#include <mutex>
#include <set>

namespace cyclamenstair {

/// What a target stand-in does with the requests that it gets.
enum class TargetBehaviour : uint8_t {
    Answer, ///< Answers with its id, or with a stream of five events on paths that contain "stream".
    Refuse, ///< Refuses, without having run the request.
    Cut, ///< Runs the request and cuts the answer off, a stream within its third event.
    Silent, ///< Runs the request and never answers.
    Foreign, ///< Answers as if to another request.
};

template <> struct EnumNames<TargetBehaviour> {
    static constexpr auto table = std::to_array<EnumName<TargetBehaviour>>({
        { TargetBehaviour::Answer, "answer" },
        { TargetBehaviour::Refuse, "refuse" },
        { TargetBehaviour::Cut, "cut" },
        { TargetBehaviour::Silent, "silent" },
        { TargetBehaviour::Foreign, "foreign" },
    });
};

/// Stand-in of a target that registers itself: runs requests, reports what it holds, and takes orders. Runs on its own
/// event loop; the public functions can be called from any thread.
class RegisteredTargetStandIn {
public:
    RegisteredTargetStandIn(std::string id, std::string service, std::set<std::string> models = {});
    ~RegisteredTargetStandIn();

    const std::string& id() const { return m_id; }

    /// The entry that the target writes into the store.
    std::string entry(const std::string& phase = "ready");

    void setBehaviour(TargetBehaviour behaviour) { m_behaviour = behaviour; }

    /// From now on all orders are refused, as by another instance at the target's address.
    void refuseOrders() { m_isRefusingOrders = true; }

    /// Returns the number of orders that were refused that way.
    int refusedOrders() const { return m_refusedOrders; }

    /// Ids of the requests that ran, with how often each did.
    std::map<std::string, int> runs();

    /// Requests whose caller left before their answer was complete.
    int abandoned() const { return m_abandoned; }

    /// Models that the target holds.
    std::set<std::string> models();

    /// Holders and fencing numbers of the orders that were accepted.
    std::vector<std::pair<std::string, int64_t>> orders();

private:
    void handle(const std::shared_ptr<ServerConnection>& caller, const HttpRequest& request);
    void run(const std::shared_ptr<ServerConnection>& caller, const HttpRequest& request);
    void stream(const std::shared_ptr<ServerConnection>& caller, const HttpRequest& request, int from);
    void takeOrder(const std::shared_ptr<ServerConnection>& caller, const std::string& body);
    std::string modelsText();

    std::string m_id;
    std::string m_service;
    std::string m_address;
    EventLoop m_loop;
    std::unique_ptr<ServerListener> m_listener;
    std::atomic<TargetBehaviour> m_behaviour { TargetBehaviour::Answer };
    std::atomic<int> m_abandoned { 0 };
    std::atomic<bool> m_isRefusingOrders { false };
    std::atomic<int> m_refusedOrders { 0 };
    std::mutex m_mutex;
    std::map<std::string, int> m_runs;
    std::set<std::string> m_models;
    std::vector<std::pair<std::string, int64_t>> m_orders;
};

} // namespace cyclamenstair
