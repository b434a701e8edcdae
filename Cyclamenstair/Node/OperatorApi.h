#pragma once

#include <Cyclamenstair/Node/OperatorPlanApi.h>
#include <Cyclamenstair/Transport/HttpListener.h>

#include <memory>

namespace cyclamenstair {

/// HTTP listener for operators.
class OperatorApi {
public:
    static Result<std::unique_ptr<OperatorApi>> create(
        const schema::SettingsT& settings, const OperatorContext& context);
    ~OperatorApi();

    void stop();

    /// Reads the TLS certificate again, for new connections.
    std::optional<Error> reloadCertificate() { return m_listener.reloadCertificate(); }

private:
    OperatorApi(const schema::SettingsT& settings, const OperatorContext& context);

    void addRoutes();
    /// Throws Exception if the operator's token is wrong.
    void authenticate(const httplib::Request& http) const;
    void showStatus(httplib::Response& response) const;
    /// Shows the audit entries of all live nodes; the query `limit` bounds them, `node=self` asks no other node.
    void showAudit(const httplib::Request& http, httplib::Response& response) const;

    schema::SettingsT m_settings;
    OperatorContext m_context;
    OperatorPlanApi m_planApi;
    HttpListener m_listener;
};

} // namespace cyclamenstair
