#include <Cyclamenstair/Node/OrderEvidence.h>

#include <Cyclamenstair/Codec/RecordCodec.h>
#include <Cyclamenstair/Node/GossipKeys.h>
#include <Cyclamenstair/Telemetry/Log.h>
#include <Cyclamenstair/Transport/FrameSocket.h>

namespace cyclamenstair {

namespace {

    /// An incarnation is "<node>/<random id>".
    std::string nodeOf(const std::string& incarnation) { return incarnation.substr(0, incarnation.rfind('/')); }

} // namespace

OrderEvidence::OrderEvidence(const schema::SettingsT& settings, std::string incarnation, std::string fleetKey,
    const GossipTable& gossip, const VmListFollower& vms, OrderTracker& orders)
    : m_settings(settings)
    , m_incarnation(std::move(incarnation))
    , m_fleetKey(std::move(fleetKey))
    , m_gossip(&gossip)
    , m_vms(&vms)
    , m_orders(&orders)
{
}

SenderEvidence OrderEvidence::ask(const std::string& sender, const std::string& target, uint64_t epoch) const
{
    if (sender == m_incarnation)
        return m_orders->closeEpochsBefore(target, epoch);
    if (isVmGone(sender))
        return SenderGone {};
    const auto entry = m_gossip->find(memberKeyPrefix + nodeOf(sender));
    if (!entry)
        return NoEvidence {};
    const auto member = decodeMember(entry->payload);
    if (member.incarnation != sender)
        return NoEvidence {};
    auto answer = askPeer(member.peerAddress, sender, target, epoch);
    if (!answer || answer->closure != OrderClosure::Closed)
        return NoEvidence {};
    return *answer;
}

bool OrderEvidence::isVmGone(const std::string& incarnation) const { return m_vms->isGone(nodeOf(incarnation)); }

bool OrderEvidence::hasEnded(const std::string& incarnation) const
{
    if (isVmGone(incarnation))
        return true;
    const auto entry = m_gossip->find(memberKeyPrefix + nodeOf(incarnation));
    return entry && decodeMember(entry->payload).incarnation != incarnation;
}

std::optional<OrderClosureState> OrderEvidence::askPeer(
    const std::string& address, const std::string& sender, const std::string& target, uint64_t epoch) const
{
    auto connected
        = FrameSocket::connect(address, m_settings.node->id, m_fleetKey, milliseconds(m_settings.peer->timeout_ms));
    if (!connected)
        return std::nullopt;
    try {
        connected.value().send(OrderQueryMessage { target, sender, epoch });
        const auto received = connected.value().receive();
        const auto* answer = std::get_if<OrderAnswerMessage>(&received);
        return answer ? std::optional(answer->state) : std::nullopt;
    } catch (const Exception& exception) {
        logError(LogSeverity::Debug, "order_query_failed", exception.error());
        return std::nullopt;
    }
}

} // namespace cyclamenstair
