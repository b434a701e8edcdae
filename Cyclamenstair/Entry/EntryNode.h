#pragma once

#include <Cyclamenstair/Entry/CatalogFollower.h>
#include <Cyclamenstair/Entry/ControlFollower.h>
#include <Cyclamenstair/Entry/NodeRegistrar.h>
#include <Cyclamenstair/Entry/OrderDispatcher.h>
#include <Cyclamenstair/Entry/RequestLoop.h>
#include <Cyclamenstair/Entry/TargetFollower.h>
#include <Cyclamenstair/Http/ServerListener.h>

namespace cyclamenstair {

/// Node of a deployment whose targets and catalog are in the platform's store (docs/platform.md).
class EntryNode {
public:
    /// Binds the listeners and starts all parts. Returns an error if an address is malformed or cannot be bound.
    static Result<std::unique_ptr<EntryNode>> create(const schema::SettingsT& settings);

    ~EntryNode();
    EntryNode(const EntryNode&) = delete;
    EntryNode& operator=(const EntryNode&) = delete;

    /// Planned stop: turns the readiness probe, gives up the order lease, lets callers find other nodes, and waits for
    /// requests in progress until the grace period is nearly over.
    void stop();

private:
    EntryNode(const schema::SettingsT& settings, boost::asio::ip::tcp::endpoint store);

    /// Binds the address for peers and makes the parts that talk to other nodes.
    std::optional<Error> joinPeers();

    Result<std::unique_ptr<ServerListener>> listen(
        const std::string& address, std::vector<EventLoop*> loops, ServerListener::RequestHandler handler);
    void answerProbe(const std::shared_ptr<ServerConnection>& from, const HttpRequest& request);
    void answerMetrics(const std::shared_ptr<ServerConnection>& from);
    ServerConnectionLimits callerLimits() const;
    void waitForRequests(TimePoint until);

    schema::SettingsT m_settings;
    EntryState m_state;
    std::vector<std::unique_ptr<RequestLoop>> m_loops;
    EventLoop m_controlLoop;
    PlatformStore m_store;
    CatalogFollower m_catalog;
    TargetFollower m_targets;
    OrderHolder m_holder;
    NodeRegistrar m_registrar;
    std::unique_ptr<PeerMesh> m_mesh;
    std::unique_ptr<ControlFollower> m_control;
    std::unique_ptr<OrderDispatcher> m_dispatcher;
    std::unique_ptr<ServerListener> m_callers;
    std::unique_ptr<ServerListener> m_probes;
    std::unique_ptr<ServerListener> m_metricsListener;
};

} // namespace cyclamenstair
