#include <Cyclamenstair/Entry/PeerMesh.h>

#include <Cyclamenstair/Telemetry/Log.h>

namespace cyclamenstair {

void PeerMesh::onFrame(const std::shared_ptr<FrameChannel>& sender, const std::string& content)
{
    try {
        std::visit([&](const auto& message) { handleMessage(sender, message); }, decodeEntryMessage(content));
    } catch (const Exception& exception) {
        logError(LogSeverity::Warning, "peer_message_rejected", exception.error());
        sender->close();
    }
}

void PeerMesh::handleMessage(const std::shared_ptr<FrameChannel>& sender, const LoadShare& share)
{
    const auto now = monotonicNow();
    std::erase_if(m_senders, [](const auto& entry) { return entry.second.expired(); });
    m_senders[share.node] = sender;
    m_exchange.add(share, now);
    if (m_topology.isDirect() || share.isCollected)
        m_contacts.markHeard(share.node, suspendAwareNow());
    if (m_topology.isDirect())
        applyRemoteLoads(now);
}

void PeerMesh::handleMessage(const std::shared_ptr<FrameChannel>&, const DemandShare& share)
{
    m_exchange.add(share, monotonicNow());
}

void PeerMesh::handleMessage(const std::shared_ptr<FrameChannel>&, const LoadSummary& summary)
{
    const auto now = monotonicNow();
    m_topology.markSummaryReceived(summary.node, now);
    if (summary.node != m_topology.collector())
        return;
    m_relay->handle(summary, now);
    m_contacts.markHeard(summary.node, suspendAwareNow());
    m_exchange.add(summary, m_lastShare, now);
    applyRemoteLoads(now);
}

void PeerMesh::handleMessage(const std::shared_ptr<FrameChannel>& sender, const StoreSyncRequest&)
{
    // A member on a slow link repeats its request while the records are still on their way. Queueing them again for
    // each member of a group could take more memory than a small node has.
    if (sender->hasQueuedFrames())
        return;
    for (const auto& update : m_relay->fullUpdates())
        sender->send(encodeEntryMessage(update));
}

void PeerMesh::handleMessage(const std::shared_ptr<FrameChannel>&, const StoreUpdate& update)
{
    m_relay->handle(update);
}

void PeerMesh::handleMessage(const std::shared_ptr<FrameChannel>& sender, const SnapshotRequest& request)
{
    logEvent(LogSeverity::Info, "snapshot_asked", { { "peer", request.node } });
    auto snapshot = m_snapshotHandlers.create();
    if (request.isCatalogOnly) {
        snapshot.targets.clear();
        snapshot.areTargetsKnown = false;
    }
    auto frame = encodeEntryMessage(snapshot);
    if (frame.size() > FrameChannel::maxFrameBytes) {
        logEvent(LogSeverity::Warning, "snapshot_without_targets",
            { { "peer", request.node }, { "bytes", std::to_string(frame.size()) } });
        snapshot.targets.clear();
        snapshot.areTargetsKnown = false;
        frame = encodeEntryMessage(snapshot);
    }
    sender->send(frame);
}

void PeerMesh::handleMessage(const std::shared_ptr<FrameChannel>&, const Snapshot& snapshot)
{
    for (const auto& version : snapshot.versions)
        m_state->versions.observe(version, monotonicNow());
    m_snapshotHandlers.apply(snapshot);
    // Request again: the peer may not have had the records itself.
    if (!m_state->areTargetsKnown || !m_state->catalog.current()) {
        for (auto& [address, link] : m_links)
            link.isSnapshotRequested = false;
    }
}

void PeerMesh::handleMessage(const std::shared_ptr<FrameChannel>&, const QuarantineShare& share)
{
    m_state->quarantine.merge(share.parts, monotonicNow());
}

void PeerMesh::handleMessage(const std::shared_ptr<FrameChannel>&, const StreamOriginShare& share)
{
    // Only what is news is passed on, so that no origin goes round.
    auto added = m_state->origins.merge(share.origins, monotonicNow());
    if (isCollecting() && !added.empty())
        shareStreamOrigins(std::move(added));
}

void PeerMesh::handleMessage(const std::shared_ptr<FrameChannel>&, const UnknownMessage& message)
{
    logEvent(LogSeverity::Warning, "peer_message_unknown", { { "type", std::to_string(message.type) } });
}

void PeerMesh::handleMessage(const std::shared_ptr<FrameChannel>& sender, const ResidencyNotice& notice)
{
    m_state->targets.setModels(notice.service, notice.target, notice.models);
    if (isCollecting())
        sendToMembers(encodeEntryMessage(notice), sender);
}

} // namespace cyclamenstair
