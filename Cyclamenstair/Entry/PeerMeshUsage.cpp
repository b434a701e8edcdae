// The usage of the teams' allotments and the newest catalog, passed on by PeerMesh along the paths of the loads.

#include <Cyclamenstair/Entry/PeerMesh.h>

namespace cyclamenstair {

namespace {

    /// Time after which a node asks another one for a newer catalog. Usually the store or the collector passes it on
    /// earlier.
    constexpr Duration catalogFollowDelay = milliseconds(600);

} // namespace

void PeerMesh::sendUsage(TimePoint now)
{
    const auto interval = m_topology.isDirect() ? loadShareInterval / 2 : groupShareInterval;
    if (!m_state->hasTeams() || now - m_lastUsageSentAt < interval)
        return;
    m_lastUsageSentAt = now;
    m_lastUsage = m_state->allotments.usage(suspendAwareNow());
    if (isCollecting()) {
        sendUsageAsCollector(m_lastUsage);
        return;
    }
    const auto frame = encodeEntryMessage(UsageShare { m_state->nodeId, m_lastUsage, 1, false, catalogVersion() });
    if (!m_topology.isDirect()) {
        sendToNode(m_topology.collector(), frame);
        return;
    }
    for (const auto& [address, link] : m_links) {
        if (link.channel && link.channel->isOpen())
            link.channel->send(frame);
    }
}

void PeerMesh::sendUsageAsCollector(const TeamUsages& own)
{
    auto group = m_usageExchange.groupShare(own);
    group.catalogVersion = catalogVersion();
    const auto groupFrame = encodeEntryMessage(group);
    for (const auto& collector : otherCollectors())
        sendToNode(collector, groupFrame);
    auto summary = m_usageExchange.summary(own);
    summary.catalogVersion = catalogVersion();
    sendToMembers(encodeEntryMessage(summary));
}

void PeerMesh::applyRemoteUsage()
{
    if (!m_state->hasTeams() || m_self.address.empty())
        return;
    const bool usesSummary = !m_topology.isDirect() && !isCollecting();
    // A follower's view is renewed by each summary only, so that it ages while none arrives.
    if (usesSummary && m_areNodesKnown)
        return;
    const auto remote = m_usageExchange.remoteUsage(usesSummary);
    const auto nodeCount = m_areNodesKnown ? m_topology.nodes().size() : m_state->minNodeCount();
    m_state->allotments.setRemoteUsage(remote.usage, remote.knownNodes, nodeCount, suspendAwareNow());
}

int64_t PeerMesh::catalogVersion() const
{
    const auto current = m_state->catalog.current();
    return current ? current->catalog.version : 0;
}

void PeerMesh::followCatalog(const std::shared_ptr<FrameChannel>& sender, int64_t version)
{
    if (version <= catalogVersion()) {
        m_catalogBehindSince.reset();
        return;
    }
    const auto now = monotonicNow();
    if (!m_catalogBehindSince) {
        m_catalogBehindSince = now;
    } else if (now - *m_catalogBehindSince >= catalogFollowDelay) {
        m_catalogBehindSince = now;
        sender->send(encodeEntryMessage(SnapshotRequest { m_state->nodeId, true }));
    }
}

void PeerMesh::handleMessage(const std::shared_ptr<FrameChannel>& sender, const UsageShare& share)
{
    m_usageExchange.add(share, suspendAwareNow());
    followCatalog(sender, share.catalogVersion);
}

void PeerMesh::handleMessage(const std::shared_ptr<FrameChannel>& sender, const UsageSummary& summary)
{
    if (summary.node != m_topology.collector())
        return;
    m_usageExchange.add(summary, m_lastUsage, suspendAwareNow());
    followCatalog(sender, summary.catalogVersion);
    const auto remote = m_usageExchange.remoteUsage(true);
    m_state->allotments.setRemoteUsage(remote.usage, remote.knownNodes, m_topology.nodes().size(), suspendAwareNow());
}

} // namespace cyclamenstair
