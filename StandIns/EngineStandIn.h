#pragma once

#include <StandIns/EngineCore.h>
#include <StandIns/StandInServer.h>

#include <deque>

namespace cyclamenstair::standin {

/// Returns the text of token `index` of the answer to `prompt` by `model`, by which checkers verify answers.
std::string expectedToken(const std::string& model, const std::string& prompt, uint32_t index);

/// Returns the whole answer text.
std::string expectedAnswer(const std::string& model, const std::string& prompt, uint32_t tokens);

/// Model engine: OpenAI completion API, Triton model repository extension, run log.
///
/// Faults: `slow_factor` (multiplies all times), `lose_orders` (orders that have no effect and no answer),
/// `lose_order_answers` (orders with effect but no answer), `late_orders` and `late_order_ms` (orders that get no
/// answer and take effect later), `break_streams` (streams that end in the middle), `stall_streams` (streams that fall
/// silent in the middle), `fail_completions` (completions that run and are answered with status 500), `refuse`
/// (completions are refused with X-Not-Run), `leaving` (the health answer says so), `report_lag_ms` (age of the
/// load in X-Load).
///
/// `POST /v1/cancel` with `request_id` cancels all attempts of a request, and with `attempt` as well only that one.
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
    void answerWhole(const Completion& completion, httplib::Response& response);
    void answerStream(const Completion& completion, httplib::Response& response);
    void waitUntilAbandoned(const Completion& completion, const httplib::DataSink& sink);
    void sleepScaled(double ms);
    uint32_t reportedLoad();

    EngineCore m_core;
    std::mutex m_loadMutex;
    std::deque<std::pair<TimePoint, uint32_t>> m_pastLoads; ///< Load at each request of the last seconds.
    std::vector<std::thread> m_lateOrders;
    StandInServer m_server;
};

} // namespace cyclamenstair::standin
