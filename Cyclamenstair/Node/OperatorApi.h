#pragma once

#include <Cyclamenstair/Generated/Settings_generated.h>
#include <Cyclamenstair/Membership/GossipTable.h>
#include <Cyclamenstair/Node/PlanRepository.h>
#include <Cyclamenstair/Node/TargetDirectory.h>
#include <Cyclamenstair/Plan/PlanRegister.h>
#include <Cyclamenstair/Transport/HttpListener.h>

#include <memory>

namespace httplib {
struct Request;
struct Response;
} // namespace httplib

namespace cyclamenstair {

/// HTTP listener for operators.
class OperatorApi {
public:
    static Result<std::unique_ptr<OperatorApi>> create(const schema::SettingsT& settings, StoreClient& store,
        const PlanRegister& plans, const GossipTable& gossip, const TargetDirectory& directory);
    ~OperatorApi();

    void stop();

    /// Reads the TLS certificate again, for new connections.
    std::optional<Error> reloadCertificate() { return m_listener.reloadCertificate(); }

private:
    OperatorApi(const schema::SettingsT& settings, StoreClient& store, const PlanRegister& plans,
        const GossipTable& gossip, const TargetDirectory& directory);

    void addRoutes();
    /// Throws Exception if the operator's token is wrong.
    void authenticate(const httplib::Request& http) const;
    void acceptPlan(const httplib::Request& http, httplib::Response& response);
    void showStatus(httplib::Response& response) const;

    schema::SettingsT m_settings;
    PlanRepository m_plansInStore;
    const PlanRegister* m_plans;
    const GossipTable* m_gossip;
    const TargetDirectory* m_directory;
    HttpListener m_listener;
};

} // namespace cyclamenstair
