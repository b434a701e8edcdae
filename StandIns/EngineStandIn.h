#pragma once

#include <StandIns/EngineCore.h>
#include <StandIns/StandInServer.h>

#include <deque>

namespace cyclamenstair::standin {

/// Returns the text of token `index` of `model`'s completion of `prompt`. Tests verify responses against it.
std::string expectedToken(const std::string& model, const std::string& prompt, uint32_t index);

/// Returns the text of the complete completion of `prompt` by `model`.
std::string expectedCompletion(const std::string& model, const std::string& prompt, uint32_t tokens);

/// Simulated model engine with the OpenAI completion API, the Triton model repository extension and a run log.
///
/// Faults:
/// - `slow_factor`: factor for all durations.
/// - `lose_orders`: number of orders that are neither executed nor answered.
/// - `lose_order_answers`: number of orders that are executed but not answered.
/// - `late_orders`: number of orders that are not answered and executed `late_order_ms` later.
/// - `break_streams`: number of streams that are disconnected before their end.
/// - `stall_streams`: number of streams that stall before their end.
/// - `fail_completions`: number of completions that run but get a response with status 500.
/// - `refuse`: if positive, completions are rejected with X-Not-Run.
/// - `leaving`: if positive, the health response reports that the engine is leaving.
/// - `report_lag_ms`: age of the load reported in X-Load.
///
/// `POST /v1/cancel` cancels all attempts of the request `request_id`, or only `attempt` if it is given.
class EngineStandIn {
public:
    explicit EngineStandIn(EngineSettings settings, int port = 0);

    int start() { return m_server.start(); }
    void stop() { m_server.stop(); }
    Faults& faults() { return m_server.faults(); }
    EngineCore& core() { return m_core; }

private:
    struct Completion;

    void addOrderRoutes();
    void addCompletionRoutes();
    void addReportRoutes();
    void handleOrder(const httplib::Request& request, httplib::Response& response);
    void applyOrder(const std::string& artifact, const std::string& operation, const nlohmann::json& parameters);
    void handleCompletion(const httplib::Request& request, httplib::Response& response, bool isChat);
    void sendBufferedResponse(const Completion& completion, httplib::Response& response);
    void sendStreamedResponse(const Completion& completion, httplib::Response& response);
    void stallStream(const Completion& completion, const httplib::DataSink& sink);
    void sleepScaled(double ms);
    uint32_t reportedLoad();

    EngineCore m_core;
    std::mutex m_loadMutex;
    std::deque<std::pair<TimePoint, uint32_t>> m_loadHistory; ///< Load at each request within `maxReportLag`.
    std::vector<std::thread> m_lateOrderThreads;
    StandInServer m_server;
};

} // namespace cyclamenstair::standin
