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

/// Components that the front end uses. They must outlive it.
struct FrontEndDependencies {
    RequestExecutor* executor;
    BookingExecutor* bookings;
    AdmissionGate* admission;
    CallerQuota* quota;
    DemandTracker* demand;
    NodeMetrics* metrics;
};

/// HTTP front end for callers: authenticates and parses requests, admits them and writes the responses. Requests are
/// handled on the listener's worker threads.
class FrontEnd {
public:
    /// Starts listening; returns an error if the address or the TLS files cannot be used.
    static Result<std::unique_ptr<FrontEnd>> create(
        const schema::SettingsT& settings, const ActivePlan& plans, const FrontEndDependencies& dependencies);
    ~FrontEnd();

    /// Makes the readiness probe return 503, so that load balancers stop sending requests.
    void failReadinessProbe() { m_isReady = false; }

    /// Rejects new requests with the outcome "not run". Requests in progress continue.
    void refuseNewRequests() { m_isRefusing = true; }

    int requestsInProgress() const { return m_requestsInProgress; }

    void stop();

    /// Reloads the TLS certificate; it applies to new connections.
    std::optional<Error> reloadCertificate() { return m_listener.reloadCertificate(); }

private:
    FrontEnd(const schema::SettingsT& settings, const ActivePlan& plans, const FrontEndDependencies& dependencies);

    void addRoutes();
    void handleProbe(bool isReadinessProbe, httplib::Response& response) const;
    void handleListModels(const httplib::Request& http, httplib::Response& response) const;
    void handleCompletion(const httplib::Request& http, httplib::Response& response);
    void handleService(const httplib::Request& http, httplib::Response& response);

    /// Applies the caller's rate limit and admission, runs the request and writes the response. `workTokens` is the
    /// expected work in tokens.
    void admitAndRespond(
        const Request& request, const CallerSpec& caller, double workTokens, httplib::Response& response);
    void respondWithFailure(const Request& request, const RequestFailure& failure, httplib::Response& response);
    void respondBuffered(const Request& request, AdmissionGate::Permit& permit, httplib::Response& response);
    void respondStreaming(
        const Request& request, std::unique_ptr<AdmissionGate::Permit> admissionPermit, httplib::Response& response);

    /// Returns the plan's entry for the caller. Throws Exception if the bearer token is missing or unknown.
    CallerSpec authenticate(const Plan& plan, const httplib::Request& http) const;

    /// Returns the active plan. Throws Exception if there is none or the node is stopping.
    std::shared_ptr<const Plan> activePlan() const;

    /// Builds the request. Throws Exception if the path is too long or the caller may not use `artifact`.
    Request makeRequest(const httplib::Request& http, const CallerSpec& caller, const std::string& artifact) const;

    schema::SettingsT m_settings;
    const ActivePlan* m_plans;
    FrontEndDependencies m_dependencies;
    std::atomic<bool> m_isReady { true };
    std::atomic<bool> m_isRefusing { false };
    std::atomic<int> m_requestsInProgress { 0 };
    HttpListener m_listener;
};

} // namespace cyclamenstair
