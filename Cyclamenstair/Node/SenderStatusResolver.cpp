#include <Cyclamenstair/Node/SenderStatusResolver.h>

#include <Cyclamenstair/Codec/RecordCodec.h>
#include <Cyclamenstair/Node/GossipKeys.h>
#include <Cyclamenstair/Telemetry/Log.h>
#include <Cyclamenstair/Transport/FrameSocket.h>

namespace cyclamenstair {

namespace {

    /// An incarnation is "<node>/<random id>".
    std::string nodeOf(const std::string& incarnation) { return incarnation.substr(0, incarnation.rfind('/')); }

} // namespace

SenderStatusResolver::SenderStatusResolver(const schema::SettingsT& settings, std::string incarnation,
    std::string fleetKey, const GossipTable& gossip, const VmListPoller& vmList, OrderTracker& orders)
    : m_settings(settings)
    , m_incarnation(std::move(incarnation))
    , m_fleetKey(std::move(fleetKey))
    , m_gossip(&gossip)
    , m_vmList(&vmList)
    , m_orders(&orders)
{
}

SenderStatus SenderStatusResolver::resolve(const std::string& sender, const std::string& target, uint64_t epoch) const
{
    if (sender == m_incarnation)
        return m_orders->closeEpochsBefore(target, epoch);
    if (isVmRemoved(sender))
        return SenderVmRemoved {};
    const auto entry = m_gossip->find(memberKeyPrefix + nodeOf(sender));
    if (!entry)
        return SenderStatusUnknown {};
    const auto member = decodeMember(entry->payload);
    if (member.incarnation != sender)
        return SenderStatusUnknown {};
    auto response = queryPeer(member.peerAddress, sender, target, epoch);
    if (!response || response->closure != OrderClosure::Closed)
        return SenderStatusUnknown {};
    return *response;
}

bool SenderStatusResolver::isVmRemoved(const std::string& incarnation) const
{
    return m_vmList->isRemoved(nodeOf(incarnation));
}

bool SenderStatusResolver::hasProcessEnded(const std::string& incarnation) const
{
    if (isVmRemoved(incarnation))
        return true;
    const auto entry = m_gossip->find(memberKeyPrefix + nodeOf(incarnation));
    return entry && decodeMember(entry->payload).incarnation != incarnation;
}

std::optional<OrderClosureState> SenderStatusResolver::queryPeer(
    const std::string& address, const std::string& sender, const std::string& target, uint64_t epoch) const
{
    auto connected
        = FrameSocket::connect(address, m_settings.node->id, m_fleetKey, milliseconds(m_settings.peer->timeout_ms));
    if (!connected)
        return std::nullopt;
    try {
        connected.value().send(OrderQueryMessage { target, sender, epoch });
        const auto received = connected.value().receive();
        const auto* response = std::get_if<OrderAnswerMessage>(&received);
        return response ? std::optional(response->state) : std::nullopt;
    } catch (const Exception& exception) {
        logError(LogSeverity::Debug, "order_query_failed", exception.error());
        return std::nullopt;
    }
}

} // namespace cyclamenstair
