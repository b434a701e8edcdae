#include <Cyclamenstair/Node/OperatorApi.h>

#include <Cyclamenstair/Core/Crypto.h>
#include <Cyclamenstair/Core/Overloaded.h>
#include <Cyclamenstair/Node/GossipKeys.h>
#include <Cyclamenstair/Node/HttpErrors.h>
#include <Cyclamenstair/Plan/SheetParser.h>

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace cyclamenstair {

namespace {

    using Json = nlohmann::json;

    constexpr size_t operatorThreads = 8;

    HttpListenerSettings listenerSettings(const schema::OperatorSettingsT& settings)
    {
        return { settings.address, settings.port, operatorThreads, static_cast<size_t>(settings.max_body_bytes),
            settings.tls_certificate, settings.tls_key };
    }

    Json findingsJson(const std::vector<SheetFinding>& findings)
    {
        Json rows = Json::array();
        for (const auto& finding : findings)
            rows.push_back({ { "line", finding.line }, { "message", finding.message } });
        return rows;
    }

    Json headJson(const PlanHead& head)
    {
        return { { "revision", head.revision }, { "acceptance_id", head.acceptanceId },
            { "accepted_by", head.acceptedBy }, { "accepted_at_unix_ms", head.acceptedAtUnixMs },
            { "reason", head.reason } };
    }

    void writeJson(httplib::Response& response, int status, const Json& body)
    {
        response.status = status;
        response.set_content(body.dump(), "application/json");
    }

} // namespace

Result<std::unique_ptr<OperatorApi>> OperatorApi::create(const schema::SettingsT& settings, StoreClient& store,
    const PlanRegister& plans, const GossipTable& gossip, const TargetDirectory& directory)
{
    std::unique_ptr<OperatorApi> api(new OperatorApi(settings, store, plans, gossip, directory));
    if (const auto started = api->m_listener.start(); !started)
        return started.error();
    return api;
}

OperatorApi::OperatorApi(const schema::SettingsT& settings, StoreClient& store, const PlanRegister& plans,
    const GossipTable& gossip, const TargetDirectory& directory)
    : m_settings(settings)
    , m_plansInStore(store)
    , m_plans(&plans)
    , m_gossip(&gossip)
    , m_directory(&directory)
    , m_listener(listenerSettings(*settings.operator_api))
{
    addRoutes();
}

OperatorApi::~OperatorApi() { stop(); }

void OperatorApi::stop() { m_listener.stop(); }

void OperatorApi::addRoutes()
{
    auto& http = m_listener.http();
    http.Post("/operator/plan/accept", [this](const httplib::Request& http, httplib::Response& response) {
        authenticate(http);
        acceptPlan(http, response);
    });
    http.Get("/operator/status", [this](const httplib::Request& http, httplib::Response& response) {
        authenticate(http);
        showStatus(response);
    });
    http.set_exception_handler(
        [](const httplib::Request&, httplib::Response& response, const std::exception_ptr& thrown) {
            try {
                std::rethrow_exception(thrown);
            } catch (const Exception& exception) {
                writeError(response, randomId(), exception.error());
            } catch (const std::exception&) {
                writeError(response, randomId(), { ErrorKind::Internal, "operator.handle", "", "internal error" });
            }
        });
}

void OperatorApi::authenticate(const httplib::Request& http) const
{
    const auto header = http.get_header_value("Authorization");
    if (!header.starts_with("Bearer ")
        || !verifyToken(std::string_view(header).substr(7), m_settings.operator_api->token_hash))
        throw Exception(
            { ErrorKind::Unauthorized, "operator.authenticate", "", "the bearer token is missing or unknown" });
}

void OperatorApi::acceptPlan(const httplib::Request& http, httplib::Response& response)
{
    const auto sheet = SheetParser::parse(http.body);
    if (!sheet.plan) {
        writeJson(response, 422, { { "result", "refused" }, { "errors", findingsJson(sheet.errors) } });
        return;
    }
    PlanProposal proposal;
    proposal.plan = *sheet.plan;
    proposal.expectedRevision = http.has_param("expected_revision")
        ? std::strtoull(http.get_param_value("expected_revision").c_str(), nullptr, 10)
        : m_plans->revision();
    proposal.acceptanceId = http.has_param("acceptance_id") ? http.get_param_value("acceptance_id") : randomId();
    proposal.acceptedBy = http.get_param_value("operator");
    proposal.reason = http.get_param_value("reason");
    std::visit(Overloaded {
                   [&](const PlanAccepted& accepted) {
                       writeJson(response, 200, { { "result", "accepted" }, { "head", headJson(accepted.head) } });
                   },
                   [&](const PlanConflict& conflict) {
                       writeJson(response, 409, { { "result", "conflict" }, { "head", headJson(conflict.winner) } });
                   },
                   [&](const PlanNotAccepted& refused) {
                       writeJson(response, 503, { { "result", "not_accepted" }, { "message", refused.message } });
                   },
                   [&](const PlanAcceptanceUnknown& unknown) {
                       writeJson(response, 504, { { "result", "unknown" }, { "acceptance_id", unknown.acceptanceId } });
                   },
               },
        m_plansInStore.accept(proposal));
}

void OperatorApi::showStatus(httplib::Response& response) const
{
    Json targets = Json::array();
    for (const auto& status : m_directory->targets()) {
        targets.push_back({ { "target", status.target }, { "kind", nameOf(status.kind) }, { "address", status.address },
            { "pool", status.pool }, { "failure_domain", status.failureDomain }, { "leaving", status.isLeaving },
            { "artifacts", status.artifacts } });
    }
    Json members = Json::array();
    for (const auto& entry : m_gossip->entriesWithPrefix(memberKeyPrefix)) {
        const auto member = decodeMember(entry.payload);
        members.push_back({ { "node", member.node }, { "peer_address", member.peerAddress },
            { "failure_domain", member.failureDomain }, { "draining", member.isDraining } });
    }
    writeJson(response, 200,
        { { "node", m_settings.node->id }, { "plan_revision", m_plans->revision() }, { "members", members },
            { "targets", targets } });
}

} // namespace cyclamenstair
