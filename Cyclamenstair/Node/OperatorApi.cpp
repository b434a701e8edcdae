#include <Cyclamenstair/Node/OperatorApi.h>

#include <Cyclamenstair/Core/Crypto.h>
#include <Cyclamenstair/Node/GossipKeys.h>
#include <Cyclamenstair/Node/HttpErrors.h>
#include <Cyclamenstair/Node/OperatorJson.h>

#include <algorithm>
#include <httplib.h>

namespace cyclamenstair {

namespace {

    using Json = nlohmann::json;

    constexpr size_t listenerThreadCount = 8;

    constexpr size_t defaultAuditEntries = 100;
    constexpr size_t maxAuditEntries = 1000;

    HttpListenerSettings listenerSettings(const schema::OperatorSettingsT& settings)
    {
        return { settings.address, settings.port, listenerThreadCount, static_cast<size_t>(settings.max_body_bytes),
            settings.tls_certificate, settings.tls_key };
    }

} // namespace

Result<std::unique_ptr<OperatorApi>> OperatorApi::create(
    const schema::SettingsT& settings, const OperatorContext& context)
{
    std::unique_ptr<OperatorApi> api(new OperatorApi(settings, context));
    if (const auto started = api->m_listener.start(); !started)
        return started.error();
    return api;
}

OperatorApi::OperatorApi(const schema::SettingsT& settings, const OperatorContext& context)
    : m_settings(settings)
    , m_context(context)
    , m_planApi(settings, context)
    , m_listener(listenerSettings(*settings.operator_api))
{
    addRoutes();
}

OperatorApi::~OperatorApi() { stop(); }

void OperatorApi::stop() { m_listener.stop(); }

void OperatorApi::addRoutes()
{
    auto& http = m_listener.http();
    const auto bind = [this](auto handler) {
        return [this, handler](const httplib::Request& http, httplib::Response& response) {
            authenticate(http);
            handler(http, response);
        };
    };
    http.Post(
        "/operator/plan/accept", bind([this](const auto& http, auto& response) { m_planApi.accept(http, response); }));
    http.Post(
        "/operator/plan/check", bind([this](const auto& http, auto& response) { m_planApi.check(http, response); }));
    http.Post(
        "/operator/plan/diff", bind([this](const auto& http, auto& response) { m_planApi.diff(http, response); }));
    http.Get("/operator/plan", bind([this](const auto&, auto& response) { m_planApi.show(response); }));
    http.Get("/operator/plan/history", bind([this](const auto&, auto& response) { m_planApi.showHistory(response); }));
    http.Get("/operator/status", bind([this](const auto&, auto& response) { showStatus(response); }));
    http.Get("/operator/audit", bind([this](const auto& http, auto& response) { showAudit(http, response); }));
    http.set_exception_handler([](const httplib::Request&, httplib::Response& response,
                                   const std::exception_ptr& thrown) {
        try {
            std::rethrow_exception(thrown);
        } catch (const Exception& exception) {
            writeErrorResponse(response, randomId(), exception.error());
        } catch (const std::exception&) {
            writeErrorResponse(response, randomId(), { ErrorKind::Internal, "operator.handle", "", "internal error" });
        }
    });
}

void OperatorApi::authenticate(const httplib::Request& http) const
{
    const auto header = http.get_header_value("Authorization");
    if (!header.starts_with("Bearer ")
        || !verifyToken(std::string_view(header).substr(7), m_context.settings->current()->operator_api->token_hash))
        throw Exception(
            { ErrorKind::Unauthorized, "operator.authenticate", "", "the bearer token is missing or wrong" });
}

void OperatorApi::showStatus(httplib::Response& response) const
{
    Json targets = Json::array();
    for (const auto& status : m_context.directory->targets()) {
        targets.push_back({ { "target", status.target }, { "kind", nameOf(status.kind) }, { "address", status.address },
            { "pool", status.pool }, { "failure_domain", status.failureDomain }, { "leaving", status.isLeaving },
            { "artifacts", status.artifacts } });
    }
    const auto now = monotonicNow();
    Json members = Json::array();
    for (const auto& entry : m_context.gossip->liveEntries(memberKeyPrefix, now)) {
        const auto member = decodeMember(entry.payload);
        const auto memberStatus = m_context.peers->members().find(member.node, now);
        members.push_back({ { "node", member.node }, { "peer_address", member.peerAddress },
            { "failure_domain", member.failureDomain }, { "draining", member.isDraining },
            { "state", nameOf(memberStatus ? memberStatus->state : MemberState::Dead) } });
    }
    writeJson(response, 200,
        { { "node", m_settings.node->id }, { "plan_revision", m_context.activePlan->revision() },
            { "members", members }, { "targets", targets } });
}

void OperatorApi::showAudit(const httplib::Request& http, httplib::Response& response) const
{
    const auto requestedLimit = std::strtoull(http.get_param_value("limit").c_str(), nullptr, 10);
    const size_t limit = requestedLimit == 0 ? defaultAuditEntries : std::min<size_t>(requestedLimit, maxAuditEntries);
    auto [entries, unresponsiveNodes] = http.get_param_value("node") == "self"
        ? std::make_pair(m_context.audit->latest(limit), std::vector<std::string>())
        : m_context.gossipLoop->collectAudit(limit);
    Json rows = Json::array();
    for (const auto& entry : entries)
        rows.push_back(auditJson(entry));
    writeJson(response, 200, { { "entries", rows }, { "nodes_without_answer", unresponsiveNodes } });
}

} // namespace cyclamenstair
