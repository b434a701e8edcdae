#pragma once

#include <Cyclamenstair/Node/OperatorPlanApi.h>
#include <Cyclamenstair/Transport/HttpListener.h>

#include <memory>

namespace cyclamenstair {

/// HTTP API for operators: plan, status and audit.
class OperatorApi {
public:
    /// Starts the listener. Fails if it cannot bind its address or load its TLS certificate.
    static Result<std::unique_ptr<OperatorApi>> create(
        const schema::SettingsT& settings, const OperatorContext& context);
    ~OperatorApi();

    void stop();

    /// Reloads the TLS certificate for new connections.
    std::optional<Error> reloadCertificate() { return m_listener.reloadCertificate(); }

private:
    OperatorApi(const schema::SettingsT& settings, const OperatorContext& context);

    void addRoutes();
    /// Throws Exception if the bearer token is missing or wrong.
    void authenticate(const httplib::Request& http) const;
    void showStatus(httplib::Response& response) const;
    /// Responds with the latest audit entries of this node and up to 32 live peers. The query parameter `limit` sets
    /// the maximum number of entries; `node=self` restricts them to this node.
    void showAudit(const httplib::Request& http, httplib::Response& response) const;

    schema::SettingsT m_settings;
    OperatorContext m_context;
    OperatorPlanApi m_planApi;
    HttpListener m_listener;
};

} // namespace cyclamenstair
