#pragma once

#include <Cyclamenstair/Http/EventLoop.h>
#include <StandIns/SimulatedResponse.h>
#include <StandIns/SimulatedTarget.h>
#include <StandIns/SimulatedTargetCodec.h>

#include <boost/asio/steady_timer.hpp>

#include <future>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenstair {

/// State of a target. Used on its loop, except for the constants.
class SimulatedTarget::Impl {
public:
    explicit Impl(SimulatedTargetSettings settings);
    ~Impl() { m_loop.stop(); }
    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    std::optional<Error> start();

    /// Runs a function on the loop and returns its result.
    template <typename Work> auto onLoop(Work work)
    {
        const auto task = std::make_shared<std::packaged_task<std::invoke_result_t<Work>()>>(std::move(work));
        auto result = task->get_future();
        m_loop.post([task] { (*task)(); });
        return result.get();
    }

    const SimulatedTargetSettings& settings() const { return m_settings; }
    const std::string& address() const { return m_connections.address(); }
    const std::string& id() const { return m_id; }
    std::optional<std::string> entry();
    void drain(std::optional<Duration> remaining);
    void crash();
    void restart(const std::string& id);
    void resetConnections(double share);
    void setFault(TargetFaultKind kind, double share) { m_faultShares[kind] = share; }
    const std::map<std::string, int>& runs() const { return m_runs; }
    const std::vector<AcceptedOrder>& orders() const { return m_orders; }
    size_t excessiveOrderCount() const { return m_excessiveOrderCount; }
    size_t maxOpenConnections() const { return m_connections.maxOpen(); }

private:
    struct DelayedOrder {
        SimulatedOrder order;
        std::string expectedInstance;
        TimePoint arrivedAt;
    };

    void handle(const std::shared_ptr<ServerConnection>& connection, const HttpRequest& request);
    void handleHealth(ServerConnection& connection);
    void handleOrder(ServerConnection& connection, const HttpRequest& request);
    /// Carries out an order and returns the status of its response, or no value if the target crashed.
    std::optional<uint32_t> execute(const SimulatedOrder& order, TimePoint arrivedAt);
    void handleWork(const std::shared_ptr<ServerConnection>& connection, const HttpRequest& request);
    /// Returns the status that rejects a request of a model, or no value if the model can serve it.
    std::optional<uint32_t> rejection(SimulatedRequest& request) const;
    std::optional<TargetFaultKind> drawRequestFault();
    bool drawFault(TargetFaultKind kind);

    /// Does what is due and arms the timer.
    void advance();
    void armTimer();
    void apply(const SimulatedStep& step);
    SimulatedTargetState state() const;
    SimulatedModels::UsePredicate usePredicate() const;

    const SimulatedTargetSettings m_settings;
    EventLoop m_loop;
    SimulatedConnections m_connections;
    boost::asio::steady_timer m_timer { m_loop.context() };
    std::string m_id;
    Random m_random;
    std::optional<SimulatedModels> m_models; ///< Of an engine.
    SimulatedBatch m_batch;
    std::map<uint64_t, SimulatedResponse> m_responses; ///< By the number of the request in the batch.
    uint64_t m_lastNumber { 0 };
    std::vector<DelayedOrder> m_delayedOrders; ///< In the order of their arrival.
    std::map<TargetFaultKind, double> m_faultShares;
    bool m_isDown { false };
    std::optional<TimePoint> m_restartAt; ///< After a crash of its own.
    bool m_isDraining { false };
    std::optional<TimePoint> m_leavesAt;
    int64_t m_startedUnixMs;
    int64_t m_entryCount { 0 }; ///< Of different entries since the start; their sequence number.
    std::string m_lastEntry;
    std::map<std::string, int> m_runs;
    std::vector<AcceptedOrder> m_orders;
    size_t m_excessiveOrderCount { 0 };
};

} // namespace cyclamenstair
