#pragma once

#include <Cyclamenstair/Core/EnumNames.h>
#include <Cyclamenstair/Core/Result.h>
#include <Cyclamenstair/Core/Time.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace cyclamenstair {

/// Work of a target of a plain service: each request holds a slot for a time that varies around the mean.
struct ServiceWorkload {
    Duration meanWorkTime { milliseconds(15) };
    size_t meanResponseBytes { 800 };
    double errorShare { 0 }; ///< Of the requests, answered 500 after they have run.
};

/// A model that engines can load.
struct SimulatedModel {
    std::string name;
    int64_t weightsMb { 0 };
    Duration loadTime {}; ///< From the weight store.
    Duration warmLoadTime {}; ///< If the engine has held the model before.
    double stepFactor { 1 }; ///< Time of a step relative to that of the engine.
    size_t adapterCount { 0 }; ///< Adapters are named a1, a2, and so on.
    Duration adapterLoadTime {};
};

/// Work of a model engine: requests share batches, prompts are read first, and events of a stream hold some tokens.
struct EngineWorkload {
    int64_t memoryTokens { 0 }; ///< Of all requests that run; a request that does not fit waits.
    int64_t weightsMb { 0 }; ///< Room for models.
    size_t adapterSlots { 0 };
    Duration stepTime {};
    Duration stepTimePerRequest {}; ///< Added for each request that runs.
    double promptTokensPerMs { 1 };
    int tokensPerEvent { 1 };
    std::vector<SimulatedModel> models; ///< All that the service has.
    std::set<std::string> loadedModels; ///< At the start.
};

using SimulatedWorkload = std::variant<ServiceWorkload, EngineWorkload>;

/// Lasting faults of a target, each of a share of its requests or orders.
enum class TargetFaultKind : uint8_t {
    FailRequests, ///< Responds with 500 after the run.
    LoseAnswers, ///< Runs the request and sends nothing.
    ResetAnswers, ///< Runs the request and resets the connection within the response, in a stream within an event.
    GarbleAnswers, ///< Sends bytes that are no HTTP, or further bytes after a complete response.
    SlowDown, ///< Takes four times as long.
    DelayOrders, ///< Leaves orders without a response and carries them out two seconds later.
};

template <> struct EnumNames<TargetFaultKind> {
    static constexpr auto table = std::to_array<EnumName<TargetFaultKind>>({
        { TargetFaultKind::FailRequests, "fail_requests" },
        { TargetFaultKind::LoseAnswers, "lose_answers" },
        { TargetFaultKind::ResetAnswers, "reset_answers" },
        { TargetFaultKind::GarbleAnswers, "garble_answers" },
        { TargetFaultKind::SlowDown, "slow_down" },
        { TargetFaultKind::DelayOrders, "delay_orders" },
    });
};

/// Settings of a simulated target.
struct SimulatedTargetSettings {
    std::string id;
    std::string service;
    std::string failureDomain;
    std::string softwareVersion { "v1" };
    size_t slots { 8 };
    size_t maxQueued { 24 }; ///< Requests beyond the slots that wait; further ones are rejected as not run.
    size_t maxConnections { 100 };
    uint64_t seed { 1 };
    SimulatedWorkload workload;
};

/// Returns the body of a response of a plain service, `TARGET:REQUEST:` and padding. Its size depends on the request's
/// id and the mean only, so that a caller can tell that it has all of the body of its own request.
std::string simulatedResponseBody(const std::string& targetId, const std::string& requestId, size_t meanBytes);

/// An order that a target accepted.
struct AcceptedOrder {
    std::string holder;
    int64_t fencingToken { 0 };
    TimePoint arrivedAt;
};

/// Simulated target with the timing of a real one, which registers itself through its caller: `entry` is written to the
/// store again and again. It listens at one address for its whole life, also after crash() and restart(). Runs on its
/// own event loop. Thread-safe.
class SimulatedTarget {
public:
    static Result<std::unique_ptr<SimulatedTarget>> create(SimulatedTargetSettings settings);
    ~SimulatedTarget();
    SimulatedTarget(const SimulatedTarget&) = delete;
    SimulatedTarget& operator=(const SimulatedTarget&) = delete;

    /// Returns the id of the current boot.
    std::string id() const;
    const std::string& service() const;
    /// Returns the address as IP:PORT.
    const std::string& address() const;
    /// Returns the entry for the store as JSON, or nothing while the target is down.
    std::optional<std::string> entry() const;

    /// Reports the state `draining` from now on, with the time that remains if the target is taken away.
    void drain(std::optional<Duration> remaining);
    /// Resets all connections and accepts none until restart().
    void crash();
    /// Starts again under the id. An engine holds no model and has no orders then, and loads those that it held before
    /// in their shorter time.
    void restart(const std::string& id);
    /// Resets a share of the open connections.
    void resetConnections(double share);
    /// Sets the share of requests or orders with the fault; 0 ends it.
    void setFault(TargetFaultKind kind, double share);

    /// Returns the number of runs of each request by request id.
    std::map<std::string, int> runs() const;
    /// Returns the accepted orders of all boots, in the order of their arrival.
    std::vector<AcceptedOrder> orders() const;
    /// Returns the number of orders to load more than the engine's memory or places hold.
    size_t excessiveOrderCount() const;
    /// Returns the largest number of connections that were open at a time.
    size_t maxOpenConnections() const;

private:
    class Impl;
    explicit SimulatedTarget(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace cyclamenstair
