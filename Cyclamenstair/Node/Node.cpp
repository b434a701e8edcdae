#include <Cyclamenstair/Node/Node.h>

#include <Cyclamenstair/Core/Crypto.h>
#include <Cyclamenstair/Core/Overloaded.h>
#include <Cyclamenstair/Node/GossipKeys.h>
#include <Cyclamenstair/Telemetry/Log.h>

#include <fstream>
#include <sstream>

namespace cyclamenstair {

namespace {

    constexpr size_t minFleetKeyBytes = 16;
    /// Members without a heartbeat for this many member timeouts are removed from the gossip table.
    constexpr int memberRetentionTimeouts = 10;

    constexpr auto drainPollInterval = std::chrono::milliseconds(20);

    Result<std::string> readFleetKey(const std::string& path)
    {
        std::ifstream file(path, std::ios::binary);
        std::ostringstream text;
        text << file.rdbuf();
        if (!file || text.str().size() < minFleetKeyBytes)
            return Error { ErrorKind::InvalidInput, "node.fleet_key", path,
                "cannot read the fleet key file, or it is shorter than 16 bytes" };
        return text.str();
    }

    MemberInfo memberInfo(const schema::SettingsT& settings, const std::string& incarnation)
    {
        MemberInfo info;
        info.node = settings.node->id;
        info.incarnation = incarnation;
        info.peerAddress = settings.peer->address + ":" + std::to_string(settings.peer->port);
        info.operatorAddress = settings.operator_api->address + ":" + std::to_string(settings.operator_api->port);
        info.region = settings.node->region;
        info.failureDomain = settings.node->failure_domain;
        return info;
    }

    StoreClientSettings storeSettings(const schema::StoreSettingsT& settings)
    {
        StoreClientSettings result;
        result.callTimeout = milliseconds(settings.timeout_ms);
        result.callsPerSecond = settings.calls_per_second;
        return result;
    }

} // namespace

Result<std::unique_ptr<Node>> Node::create(const schema::SettingsT& settings, const ProcessStart& start)
{
    auto fleetKey = readFleetKey(settings.peer->fleet_key_file);
    if (!fleetKey)
        return fleetKey.error();
    std::unique_ptr<Node> node(new Node(settings, fleetKey.value()));

    PeerServerSettings peer;
    peer.address = settings.peer->address;
    peer.port = settings.peer->port;
    peer.node = settings.node->id;
    peer.fleetKey = fleetKey.value();
    peer.timeout = milliseconds(settings.peer->timeout_ms);
    auto peerServer = PeerServer::create(peer, [self = node.get()](const PeerMessage& request, const std::string&) {
        return self->handlePeerRequest(request);
    });
    if (!peerServer)
        return peerServer.error();
    node->m_peerServer = std::move(peerServer).value();

    auto operatorApi = OperatorApi::create(settings,
        { &node->m_store, &node->m_activePlan, &node->m_planExchange, &node->m_gossip, &node->m_gossipLoop,
            &node->m_directory, &node->m_peers, &node->m_audit, &node->m_liveSettings });
    if (!operatorApi)
        return operatorApi.error();
    node->m_operatorApi = std::move(operatorApi).value();

    auto frontEnd = FrontEnd::create(settings, node->m_activePlan,
        { &node->m_executor, &node->m_bookings, &node->m_admission, &node->m_quota, &node->m_demandTracker,
            &node->m_nodeMetrics });
    if (!frontEnd)
        return frontEnd.error();
    node->m_frontEnd = std::move(frontEnd).value();
    logNodeStarted({ { "node", settings.node->id }, { "incarnation", node->m_incarnation } }, start);
    return node;
}

Node::Node(const schema::SettingsT& settings, const std::string& fleetKey)
    : m_settings(settings)
    , m_liveSettings(settings)
    , m_incarnation(settings.node->id + "/" + randomId())
    , m_store(EtcdBackend(settings.store->endpoint), storeSettings(*settings.store))
    , m_gossip({ { memberKeyPrefix, memberRetentionTimeouts * milliseconds(settings.peer->member_timeout_ms) } })
    , m_nodeMetrics(
          m_metrics, m_store, m_activePlan, m_gossip, m_directory, milliseconds(settings.peer->member_timeout_ms))
    , m_executor(settings, m_directory)
    , m_bookings(settings, m_incarnation, fleetKey, m_store, m_gossip, m_executor)
    , m_admission(settings, m_directory, m_gossip)
    , m_quota(settings.node->id, m_gossip)
    , m_audit(settings.node->id)
    , m_planExchange(m_activePlan, m_audit)
    , m_peers(settings, m_gossip)
    , m_gossipLoop(settings, m_incarnation, fleetKey, m_gossip, m_planExchange, m_directory, m_peers, m_audit)
    , m_planWatcher(m_store, m_planExchange, m_activePlan, milliseconds(settings.store->watch_ms))
    , m_membershipLease(settings, memberInfo(settings, m_incarnation), m_store, m_peers)
    , m_vmList(settings.platform->vm_list_endpoint, milliseconds(settings.platform->poll_ms), m_directory)
    , m_demandPublisher(settings.node->id, milliseconds(settings.peer->member_timeout_ms), m_demandTracker, m_gossip)
    , m_senderStatusResolver(settings, m_incarnation, fleetKey, m_gossip, m_vmList, m_orders)
    , m_coordinator(settings, m_senderStatusResolver, m_vmList, m_demandPublisher, m_store, m_activePlan, m_gossip,
          m_directory, m_metrics)
{
}

PeerMessage Node::handlePeerRequest(const PeerMessage& request)
{
    return std::visit(Overloaded {
                          [this](const ClaimQueryMessage& query) -> PeerMessage { return m_bookings.answer(query); },
                          [this](const OrderQueryMessage& query) -> PeerMessage {
                              if (query.incarnation != m_incarnation)
                                  return OrderAnswerMessage {};
                              return OrderAnswerMessage { m_orders.closeEpochsBefore(query.target, query.epoch) };
                          },
                          [&](const auto&) { return m_gossipLoop.handleRequest(request); },
                      },
        request);
}

void Node::reload(const schema::SettingsT& settings)
{
    const auto reload = m_liveSettings.reload(settings);
    for (const auto& key : reload.applied)
        logEvent(LogSeverity::Info, "settings_reloaded", { { "key", key } });
    for (const auto& key : reload.restartRequired)
        logEvent(LogSeverity::Warning, "settings_need_restart", { { "key", key } });
    const auto current = m_liveSettings.current();
    configureLog(static_cast<LogSeverity>(current->log->level));
    for (const auto& error : { m_frontEnd->reloadCertificate(), m_operatorApi->reloadCertificate() }) {
        if (error)
            logError(LogSeverity::Error, "certificate_not_reloaded", *error);
    }
}

void Node::stop(std::optional<ProcessSignal> signal)
{
    logEvent(LogSeverity::Info, "node_stopping",
        { { "node", m_settings.node->id }, { "signal", std::string(signal ? nameOf(*signal) : "none") } });
    AuditEntry drain;
    drain.kind = AuditKind::Drain;
    drain.actor = m_settings.node->id;
    drain.action = "node stops";
    m_audit.record(std::move(drain));
    m_gossipLoop.setDraining();
    m_frontEnd->failReadinessProbe();
    std::this_thread::sleep_for(milliseconds(m_settings.request->drain_notice_ms));
    m_frontEnd->refuseNewRequests();
    while (m_frontEnd->requestsInProgress() > 0)
        std::this_thread::sleep_for(drainPollInterval);
    m_frontEnd->stop();
    m_operatorApi->stop();
    m_bookings.stop();
    m_quota.stop();
    m_coordinator.stop();
    m_demandPublisher.stop();
    m_vmList.stop();
    m_planWatcher.stop();
    m_membershipLease.stop();
    m_gossipLoop.stop();
    logEvent(LogSeverity::Info, "node_stopped", { { "node", m_settings.node->id } });
}

} // namespace cyclamenstair
