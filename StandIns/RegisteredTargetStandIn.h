#pragma once

#include <Cyclamenstair/Core/EnumNames.h>
#include <Cyclamenstair/Http/EventLoop.h>
#include <Cyclamenstair/Http/ServerListener.h>

#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <set>

namespace cyclamenstair {

/// How a target stand-in handles requests.
enum class TargetBehaviour : uint8_t {
    Respond, ///< Responds with its id, or with a stream of five events on paths that contain "stream".
    RefuseUnrun, ///< Rejects the request without running it.
    TruncateResponse, ///< Runs the request and disconnects within the response; in a stream, within the third event.
    NoResponse, ///< Runs the request and sends no response.
    WrongRequestId, ///< Responds with the id of another request.
    SaysLeaving, ///< Responds, and states that it is about to leave.
    AsksForPause, ///< Rejects the request without running it and asks for a pause of 1.5 s.
    EndlessBody, ///< Runs the request and sends a body without end, as fast as the node reads it.
    PacedStream, ///< Responds; a stream has an event every 200 ms.
    StaleRefusal, ///< Runs the request; on a kept connection, responds with an earlier refusal that names no request.
};

template <> struct EnumNames<TargetBehaviour> {
    static constexpr auto table = std::to_array<EnumName<TargetBehaviour>>({
        { TargetBehaviour::Respond, "answer" },
        { TargetBehaviour::RefuseUnrun, "refuse" },
        { TargetBehaviour::TruncateResponse, "cut" },
        { TargetBehaviour::NoResponse, "silent" },
        { TargetBehaviour::WrongRequestId, "foreign" },
        { TargetBehaviour::SaysLeaving, "leaving" },
        { TargetBehaviour::AsksForPause, "pause" },
        { TargetBehaviour::EndlessBody, "endless" },
        { TargetBehaviour::PacedStream, "paced" },
        { TargetBehaviour::StaleRefusal, "stale_refusal" },
    });
};

/// Simulated target that registers itself in the store: runs requests, reports its loaded models and executes orders.
/// Runs on its own event loop. Thread-safe.
class RegisteredTargetStandIn {
public:
    RegisteredTargetStandIn(std::string id, std::string service, std::set<std::string> models = {});
    ~RegisteredTargetStandIn();

    const std::string& id() const { return m_id; }

    /// Returns the address as IP:PORT.
    const std::string& address() const { return m_address; }

    /// Returns the entry that the target writes to the store, as JSON.
    std::string entry(const std::string& phase = "ready");

    /// Sets the version of the target's software, for entry().
    void setSoftwareVersion(const std::string& version);

    void setBehaviour(TargetBehaviour behaviour) { m_behaviour = behaviour; }

    /// From now on a request whose prompt has this part crashes the target as it begins to answer: all connections end,
    /// and the target starts again at once.
    void setCrashingPart(const std::string& part);

    /// From now on the target is brittle: it runs at most as many requests as it has slots, each for `runTime`, refuses
    /// the others and states `refusalLimit` in all answers. One that refuses more in a second crashes and refuses
    /// connections' requests by closing them for `brittleDownTime`.
    void setBrittle(int refusalLimit, Duration runTime);

    /// Returns how many requests the target refused for want of room since it is brittle.
    int roomRefusalCount() const { return m_roomRefusalCount; }

    /// Returns the most requests that ran at one time since the target is brittle.
    int maxRunning() const { return m_maxRunning; }

    /// Slots in the target's entry.
    static constexpr int slots = 8;
    static constexpr Duration brittleDownTime = milliseconds(2000);

    /// Returns how often the target crashed.
    int crashCount() const { return m_crashCount; }

    /// Returns how many requests with the crashing part arrived.
    int crashingRequestCount() const { return m_crashingRequestCount; }

    /// Rejects all further orders, as another instance at the target's address would.
    void rejectOrders() { m_rejectsOrders = true; }

    /// Returns the number of orders rejected after rejectOrders.
    int rejectedOrderCount() const { return m_rejectedOrderCount; }

    /// Returns the number of runs of each request by request id.
    std::map<std::string, int> runs();
    /// Returns the number of runs of one request.
    int runCount(const std::string& requestId);

    /// Returns the header fields of the last request that ran.
    HeaderFields lastFields();

    /// Returns the number of requests whose client disconnected before the response was complete.
    int abandonedRequestCount() const { return m_abandonedRequestCount; }

    /// Returns the bytes sent of bodies without end.
    size_t endlessBodyBytes() const { return m_endlessBodyBytes; }

    /// Returns the names of the loaded models.
    std::set<std::string> models();

    /// Returns the lease holder and the fencing token of each accepted order.
    std::vector<std::pair<std::string, int64_t>> orders();

    /// Returns when each accepted order arrived.
    std::vector<TimePoint> orderTimes();

    /// Drops all models, so that the lease holder orders them again.
    void dropModels();

private:
    void handle(const std::shared_ptr<ServerConnection>& connection, const HttpRequest& request);
    void run(const std::shared_ptr<ServerConnection>& connection, const HttpRequest& request, bool isFirstOfConnection);
    void stream(const std::shared_ptr<ServerConnection>& connection, const HttpRequest& request, int firstEvent);
    /// Sends the events from `event` on, one after the other with pauses, and the end of the stream.
    void sendPaced(const std::shared_ptr<ServerConnection>& connection, int event);
    void sendEndlessBody(const std::shared_ptr<ServerConnection>& connection);
    /// Handles a request while the target is brittle.
    void runBrittle(const std::shared_ptr<ServerConnection>& connection, const HttpRequest& request);
    bool hasCrashingPart(const HttpRequest& request);
    void crash();
    void handleOrder(const std::shared_ptr<ServerConnection>& connection, const std::string& body);
    std::string modelsJson();

    std::string m_id;
    std::string m_service;
    std::string m_address;
    EventLoop m_loop;
    std::unique_ptr<ServerListener> m_listener;
    std::atomic<TargetBehaviour> m_behaviour { TargetBehaviour::Respond };
    std::atomic<int> m_abandonedRequestCount { 0 };
    std::atomic<int> m_crashCount { 0 };
    std::atomic<int> m_crashingRequestCount { 0 };
    std::atomic<int> m_refusalLimit { 0 }; ///< 0 unless the target is brittle.
    std::atomic<Duration> m_brittleRunTime { Duration(0) };
    std::atomic<int> m_roomRefusalCount { 0 };
    std::atomic<int> m_maxRunning { 0 };
    int m_running { 0 }; ///< While the target is brittle. Used on the event loop only, like the following ones.
    std::deque<TimePoint> m_roomRefusals; ///< Of the last second.
    TimePoint m_downUntil;
    std::atomic<size_t> m_endlessBodyBytes { 0 };
    std::atomic<bool> m_rejectsOrders { false };
    std::atomic<int> m_rejectedOrderCount { 0 };
    std::set<std::weak_ptr<ServerConnection>, std::owner_less<>> m_connections; ///< Used on the event loop only.
    std::mutex m_mutex;
    std::string m_softwareVersion { "v1" };
    std::string m_crashingPart;
    std::map<std::string, int> m_runCounts;
    HeaderFields m_lastFields;
    std::set<std::string> m_loadedModels;
    std::vector<std::pair<std::string, int64_t>> m_acceptedOrders;
    std::vector<TimePoint> m_orderTimes; ///< Of m_acceptedOrders.
};

} // namespace cyclamenstair
