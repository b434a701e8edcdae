#include <Cyclamenstair/Entry/ControlFollower.h>

#include <Cyclamenstair/Entry/NodeRegistrar.h>

namespace cyclamenstair {

namespace {

    const std::string controlPrefix = "control/";

} // namespace

ControlFollower::ControlFollower(
    boost::asio::io_context& context, PlatformStore& store, OrderHolder& holder, PeerMesh& mesh)
    : m_holder(&holder)
    , m_mesh(&mesh)
    , m_follower(context, store, controlPrefix,
          { [this](const StoreRange& range) { onRead(range); },
              [this](const StoreChange& change) { onChange(change); } })
{
}

void ControlFollower::onRead(const StoreRange& range)
{
    m_nodes.clear();
    std::string holder;
    for (const auto& record : range.records) {
        if (record.key == OrderHolder::key)
            holder = record.value;
        else if (record.key.starts_with(NodeRegistrar::keyPrefix))
            m_nodes[record.key.substr(NodeRegistrar::keyPrefix.size())] = record.value;
    }
    m_mesh->setNodes(m_nodes);
    setHolder(holder);
}

void ControlFollower::onChange(const StoreChange& change)
{
    const auto& record = change.record;
    if (record.key == OrderHolder::key) {
        setHolder(record.value);
    } else if (record.key.starts_with(NodeRegistrar::keyPrefix)) {
        const auto node = record.key.substr(NodeRegistrar::keyPrefix.size());
        if (change.isDeleted)
            m_nodes.erase(node);
        else
            m_nodes[node] = record.value;
        m_mesh->setNodes(m_nodes);
    }
}

void ControlFollower::setHolder(const std::string& holder)
{
    m_mesh->setHolder(holder);
    m_holder->onHolder(holder);
}

} // namespace cyclamenstair
