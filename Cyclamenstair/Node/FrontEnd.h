#pragma once

#include <Cyclamenstair/Node/AdmissionGate.h>
#include <Cyclamenstair/Node/BookingExecutor.h>
#include <Cyclamenstair/Node/CallerQuota.h>
#include <Cyclamenstair/Node/NodeMetrics.h>
#include <Cyclamenstair/Placement/DemandTracker.h>
#include <Cyclamenstair/Plan/ActivePlan.h>
#include <Cyclamenstair/Transport/HttpListener.h>

#include <atomic>
#include <memory>

namespace httplib {
struct Request;
struct Response;
} // namespace httplib

namespace cyclamenstair {

/// Parts of the node that the front end passes requests to. They outlive it.
struct FrontEndParts {
    RequestExecutor* executor;
    BookingExecutor* bookings;
    AdmissionGate* admission;
    CallerQuota* quota;
    DemandTracker* demand;
    NodeMetrics* metrics;
};

/// HTTP listener for callers.
class FrontEnd {
public:
    static Result<std::unique_ptr<FrontEnd>> create(
        const schema::SettingsT& settings, const ActivePlan& plans, const FrontEndParts& parts);
    ~FrontEnd();

    /// From now on the readiness probe answers 503.
    void announceStop() { m_isReady = false; }

    /// From now on new calls are refused with "not run".
    void refuseNewCalls() { m_isRefusing = true; }

    /// Returns the number of calls that are being answered.
    int callsInProgress() const { return m_callsInProgress; }

    void stop();

    /// Reads the TLS certificate again, for new connections.
    std::optional<Error> reloadCertificate() { return m_listener.reloadCertificate(); }

private:
    FrontEnd(const schema::SettingsT& settings, const ActivePlan& plans, const FrontEndParts& parts);

    void addRoutes();
    void handleProbe(bool isReadinessProbe, httplib::Response& response) const;
    void listModels(const httplib::Request& http, httplib::Response& response) const;
    void handleCompletion(const httplib::Request& http, httplib::Response& response);
    void handleService(const httplib::Request& http, httplib::Response& response);

    /// Takes the request through the caller's limit and admission, then answers it. `work` is the expected work in
    /// tokens.
    void admitAndAnswer(const Request& request, const CallerSpec& caller, double work, httplib::Response& response);
    void answerFailure(const Request& request, const RequestFailure& failure, httplib::Response& response);
    void answerWhole(const Request& request, AdmissionGate::Pass& pass, httplib::Response& response);
    void answerStream(const Request& request, std::unique_ptr<AdmissionGate::Pass> pass, httplib::Response& response);

    /// Returns the plan's row of the caller; throws Exception if the token is unknown.
    CallerSpec authenticate(const Plan& plan, const httplib::Request& http) const;
    std::shared_ptr<const Plan> planInForce() const;
    Request requestFrom(const httplib::Request& http, const CallerSpec& caller, const std::string& artifact) const;

    schema::SettingsT m_settings;
    const ActivePlan* m_plans;
    FrontEndParts m_parts;
    std::atomic<bool> m_isReady { true };
    std::atomic<bool> m_isRefusing { false };
    std::atomic<int> m_callsInProgress { 0 };
    HttpListener m_listener;
};

} // namespace cyclamenstair
