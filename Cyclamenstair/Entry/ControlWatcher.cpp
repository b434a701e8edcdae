#include <Cyclamenstair/Entry/ControlWatcher.h>

#include <Cyclamenstair/Entry/NodeRegistrar.h>

namespace cyclamenstair {

namespace {

    const std::string controlPrefix = "control/";

} // namespace

ControlWatcher::ControlWatcher(
    boost::asio::io_context& context, PlatformStore& store, OrderLeaseElector& elector, PeerMesh& mesh)
    : m_elector(&elector)
    , m_mesh(&mesh)
    , m_watcher(context, store, controlPrefix,
          { [this](const StoreRange& range) { onRead(range); },
              [this](const StoreChange& change) { onChange(change); } })
{
}

void ControlWatcher::onRead(const StoreRange& range)
{
    m_nodeAddresses.clear();
    std::string leaseHolder;
    for (const auto& record : range.records) {
        if (record.key == OrderLeaseElector::key)
            leaseHolder = record.value;
        else if (record.key.starts_with(NodeRegistrar::keyPrefix))
            m_nodeAddresses[record.key.substr(NodeRegistrar::keyPrefix.size())] = record.value;
    }
    m_mesh->setNodeAddresses(m_nodeAddresses);
    setLeaseHolder(leaseHolder);
}

void ControlWatcher::onChange(const StoreChange& change)
{
    const auto& record = change.record;
    if (record.key == OrderLeaseElector::key) {
        setLeaseHolder(record.value);
    } else if (record.key.starts_with(NodeRegistrar::keyPrefix)) {
        const auto nodeId = record.key.substr(NodeRegistrar::keyPrefix.size());
        if (change.isDeleted)
            m_nodeAddresses.erase(nodeId);
        else
            m_nodeAddresses[nodeId] = record.value;
        m_mesh->setNodeAddresses(m_nodeAddresses);
    }
}

void ControlWatcher::setLeaseHolder(const std::string& leaseHolder)
{
    m_mesh->setLeaseHolder(leaseHolder);
    m_elector->onLeaseHolderChanged(leaseHolder);
}

} // namespace cyclamenstair
