#include <Cyclamenstair/Node/GossipLoop.h>

#include <Cyclamenstair/Core/Overloaded.h>
#include <Cyclamenstair/Node/GossipKeys.h>
#include <Cyclamenstair/Telemetry/Log.h>

#include <sstream>

namespace cyclamenstair {

namespace {

    uint64_t unixMicroseconds()
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
    }

    std::vector<std::string> splitList(const std::string& text)
    {
        std::vector<std::string> items;
        std::istringstream stream(text);
        for (std::string item; std::getline(stream, item, ',');) {
            item.erase(0, item.find_first_not_of(' '));
            if (!item.empty())
                items.push_back(item);
        }
        return items;
    }

} // namespace

GossipLoop::GossipLoop(const schema::SettingsT& settings, std::string incarnation, std::string fleetKey,
    GossipTable& gossip, PlanRegister& plans, TargetDirectory& directory)
    : m_settings(settings)
    , m_incarnation(std::move(incarnation))
    , m_fleetKey(std::move(fleetKey))
    , m_epoch(unixMicroseconds())
    , m_gossip(&gossip)
    , m_plans(&plans)
    , m_directory(&directory)
    , m_random(std::random_device {}())
    , m_thread("gossip", [this] { return step(); })
{
}

void GossipLoop::stop() { m_thread.stop(); }

PeerMessage GossipLoop::answer(const PeerMessage& request)
{
    return std::visit(
        Overloaded {
            [&](const GossipRequestMessage& message) -> PeerMessage {
                auto difference = m_gossip->compare(message.digest);
                return GossipResponseMessage { std::move(difference.newer), std::move(difference.wanted) };
            },
            [&](const GossipPushMessage& message) -> PeerMessage {
                applyEntries(message.entries);
                return GossipPushAckMessage { static_cast<uint32_t>(message.entries.size()) };
            },
            [&](const PlanFetchRequestMessage& message) -> PeerMessage {
                const auto plan = m_plans->plan();
                if (!plan || plan->revision <= message.knownRevision)
                    return PlanFetchResponseMessage { plan ? plan->revision : 0, "" };
                return PlanFetchResponseMessage { plan->revision, encodePlan(*plan) };
            },
            [](const auto&) -> PeerMessage {
                return FailureMessage { "peer.answer", "the message is not a request" };
            },
        },
        request);
}

Duration GossipLoop::step()
{
    announceSelf();
    const auto addresses = peerAddresses();
    if (!addresses.empty())
        exchangeWith(addresses[randomIndex(m_random, addresses.size())]);
    return milliseconds(m_settings.peer->gossip_interval_ms);
}

void GossipLoop::announceSelf()
{
    MemberInfo self;
    self.node = m_settings.node->id;
    self.incarnation = m_incarnation;
    self.peerAddress = m_settings.peer->address + ":" + std::to_string(m_settings.peer->port);
    self.operatorAddress = m_settings.operator_api->address + ":" + std::to_string(m_settings.operator_api->port);
    self.region = m_settings.node->region;
    self.failureDomain = m_settings.node->failure_domain;
    self.isDraining = m_isDraining;
    // Each write raises the version, which is the heartbeat.
    m_gossip->publish(memberKeyPrefix + self.node, m_epoch, encodeMember(self), monotonicNow());
}

std::vector<std::string> GossipLoop::peerAddresses() const
{
    std::vector<std::string> addresses = splitList(m_settings.peer->seeds);
    for (const auto& entry : m_gossip->entriesWithPrefix(memberKeyPrefix)) {
        const auto member = decodeMember(entry.payload);
        if (member.node != m_settings.node->id)
            addresses.push_back(member.peerAddress);
    }
    return addresses;
}

void GossipLoop::exchangeWith(const std::string& address)
{
    auto connected
        = FrameSocket::connect(address, m_settings.node->id, m_fleetKey, milliseconds(m_settings.peer->timeout_ms));
    if (!connected) {
        logError(LogSeverity::Debug, "gossip_failed", connected.error());
        return;
    }
    auto& socket = connected.value();
    try {
        socket.send(GossipRequestMessage { m_gossip->digest() });
        const auto received = socket.receive();
        if (const auto* response = std::get_if<GossipResponseMessage>(&received)) {
            applyEntries(response->entries);
            if (!response->wanted.empty()) {
                socket.send(GossipPushMessage { m_gossip->entries(response->wanted) });
                socket.receive();
            }
        }
        fetchPlanFrom(socket);
    } catch (const Exception& exception) {
        logError(LogSeverity::Debug, "gossip_failed", exception.error());
    }
}

void GossipLoop::fetchPlanFrom(FrameSocket& socket)
{
    socket.send(PlanFetchRequestMessage { m_plans->revision() });
    const auto received = socket.receive();
    const auto* response = std::get_if<PlanFetchResponseMessage>(&received);
    if (!response || response->encodedPlan.empty())
        return;
    if (m_plans->offer(decodePlan(response->encodedPlan)))
        logEvent(LogSeverity::Info, "plan_in_force",
            { { "revision", std::to_string(response->revision) }, { "source", socket.peerNode() } });
}

void GossipLoop::applyEntries(const std::vector<GossipEntry>& entries)
{
    for (const auto& entry : entries) {
        if (m_gossip->apply(entry, monotonicNow()) && entry.key.starts_with(targetKeyPrefix))
            m_directory->update(decodeTargetStatus(entry.payload));
    }
}

} // namespace cyclamenstair
