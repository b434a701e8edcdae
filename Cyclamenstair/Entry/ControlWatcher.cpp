#include <Cyclamenstair/Entry/ControlWatcher.h>

#include <Cyclamenstair/Codec/ServiceVersionCodec.h>
#include <Cyclamenstair/Entry/NodeRegistrar.h>
#include <Cyclamenstair/Telemetry/Log.h>

#include <algorithm>

namespace cyclamenstair {

namespace {

    /// Time between two watches in a large fleet, in which many nodes register one after the other.
    constexpr Duration largeFleetWatchInterval = milliseconds(1000);
    /// Less than for the other records, since the number of nodes decides who watches them.
    constexpr Duration firstWatchDelay = milliseconds(600);
    /// Nodes write less than 1 KB.
    constexpr size_t maxValueBytes = size_t { 4 } << 10U;

    bool isNode(const StoreRecord& record) { return record.key.starts_with(NodeRegistrar::keyPrefix); }

    bool isVersion(const StoreRecord& record) { return record.key.starts_with(StreamOriginExchange::versionPrefix); }

    Result<PeerNode> decodeNode(const StoreRecord& record)
    {
        return decodeNodeEntry(record.value, record.key.substr(NodeRegistrar::keyPrefix.size()));
    }

    /// Returns whether the record is one of a node. Others would be passed on to the nodes of the group, and with
    /// hundreds of them the updates would exceed a frame.
    bool isUsed(StoreRecord& record)
    {
        const auto reject = [](std::string_view event, const Error& error) {
            logError(LogSeverity::Warning, event, error);
            return false;
        };
        const bool isLease = record.key == OrderLeaseElector::key;
        if (!isLease && !isNode(record) && !isVersion(record))
            return false;
        if (isLease) {
            // It still says that another holder is named.
            record.value.resize(std::min(record.value.size(), maxValueBytes));
            return true;
        }
        if (record.value.size() > maxValueBytes)
            return reject("control_record_rejected",
                { ErrorKind::LimitExceeded, "control.filter", {}, "the value of " + record.key + " is too long" });
        if (isNode(record)) {
            const auto node = decodeNode(record);
            return node || reject("node_entry_rejected", node.error());
        }
        if (isVersion(record)) {
            const auto version = decodeServiceVersion(record.value, record.key);
            return version || reject("software_version_rejected", version.error());
        }
        return true;
    }

} // namespace

const std::string ControlWatcher::prefix = "control/";

ControlWatcher::ControlWatcher(boost::asio::io_context& context, PlatformStore& store, OrderLeaseElector& elector,
    PeerMesh& mesh, StreamOriginExchange& origins)
    : m_elector(&elector)
    , m_mesh(&mesh)
    , m_origins(&origins)
    , m_watcher(context, store, prefix,
          { [this](const StoreRange& range) { onRead(range); }, [this](const StoreChange& change) { onChange(change); },
              isUsed },
          { .firstWatchDelay = firstWatchDelay })
{
}

void ControlWatcher::onRead(const StoreRange& range)
{
    m_nodes.clear();
    std::string leaseHolder;
    for (const auto& record : range.records) {
        if (record.key == OrderLeaseElector::key)
            leaseHolder = record.value;
        else if (isNode(record))
            updateNode(record);
    }
    applyNodes();
    addVersions(range.records);
    setLeaseHolder(leaseHolder);
}

void ControlWatcher::onChange(const StoreChange& change)
{
    const auto& record = change.record;
    if (record.key == OrderLeaseElector::key) {
        setLeaseHolder(record.value);
    } else if (isNode(record)) {
        if (change.isDeleted)
            m_nodes.erase(record.key.substr(NodeRegistrar::keyPrefix.size()));
        else
            updateNode(record);
        applyNodes();
    } else if (!change.isDeleted) {
        addVersions({ record });
    }
}

void ControlWatcher::addVersions(const std::vector<StoreRecord>& records)
{
    std::set<ServiceVersion> versions;
    for (const auto& record : records) {
        if (!isVersion(record))
            continue;
        auto version = decodeServiceVersion(record.value, record.key);
        if (version)
            versions.insert(std::move(version).value());
        else
            logError(LogSeverity::Warning, "software_version_rejected", version.error());
    }
    m_origins->addKnownVersions(versions);
}

void ControlWatcher::applyNodes()
{
    m_mesh->setNodes(m_nodes);
    m_elector->setCompetitorCount(m_mesh->leaseCompetitorCount());
    m_watcher.setWatchInterval(
        m_mesh->isLargeFleet() ? largeFleetWatchInterval : StoreWatcherSettings {}.watchInterval);
}

void ControlWatcher::updateNode(const StoreRecord& record)
{
    auto node = decodeNode(record);
    if (node)
        m_nodes[record.key.substr(NodeRegistrar::keyPrefix.size())] = std::move(node).value();
    else
        logError(LogSeverity::Warning, "node_entry_rejected", node.error());
}

void ControlWatcher::setLeaseHolder(const std::string& leaseHolder)
{
    m_mesh->setLeaseHolder(leaseHolder);
    m_elector->onLeaseHolderChanged(leaseHolder);
}

} // namespace cyclamenstair
