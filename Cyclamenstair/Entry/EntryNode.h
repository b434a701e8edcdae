#pragma once

#include <Cyclamenstair/Entry/CatalogWatcher.h>
#include <Cyclamenstair/Entry/ControlWatcher.h>
#include <Cyclamenstair/Entry/LostAnswerVerifier.h>
#include <Cyclamenstair/Entry/NodeRegistrar.h>
#include <Cyclamenstair/Entry/OrderDispatcher.h>
#include <Cyclamenstair/Entry/ReadinessMonitor.h>
#include <Cyclamenstair/Entry/RequestLoop.h>
#include <Cyclamenstair/Entry/StoreRelay.h>
#include <Cyclamenstair/Entry/TargetReachMonitor.h>
#include <Cyclamenstair/Entry/TargetWatcher.h>
#include <Cyclamenstair/Http/OptionalListener.h>
#include <Cyclamenstair/Http/ServerListener.h>
#include <Cyclamenstair/Telemetry/ProcessInfo.h>
#include <Cyclamenstair/Telemetry/ProcessSignal.h>

namespace cyclamenstair {

/// Node that serves callers in a deployment whose targets and catalog are registered in the platform's store
/// (docs/platform.md).
class EntryNode {
public:
    /// Binds the listeners and starts serving. Returns an error if an address is malformed, or if one that the node
    /// cannot do without cannot be bound. Those for relayed requests and metrics are tried again while the node serves.
    /// `start` is written to the log.
    static Result<std::unique_ptr<EntryNode>> create(const schema::SettingsT& settings, const ProcessStart& start = {});

    ~EntryNode();
    EntryNode(const EntryNode&) = delete;
    EntryNode& operator=(const EntryNode&) = delete;

    /// Applies the keys marked "Reload" of settings that were read again. Called by the thread that stops the node.
    void reload(const schema::SettingsT& settings);

    /// Graceful shutdown: fails the readiness probe, resigns the order lease, drains caller connections, and waits for
    /// requests in progress until shortly before the end of the grace period. Blocks the calling thread. `signal` is
    /// the cause, if a signal is.
    void stop(std::optional<ProcessSignal> signal = std::nullopt);

private:
    EntryNode(const schema::SettingsT& settings, boost::asio::ip::tcp::endpoint storeEndpoint);

    /// Binds the peer address and creates the components that communicate with other nodes.
    std::optional<Error> createPeerMesh();

    Result<std::unique_ptr<ServerListener>> listen(
        const std::string& address, std::vector<EventLoop*> loops, ServerListener::RequestHandler handler);
    /// Creates the listeners for relayed requests and metrics, if the settings have them.
    std::optional<Error> createOptionalListeners(const std::vector<EventLoop*>& loops);
    void respondToProbe(const std::shared_ptr<ServerConnection>& connection, const HttpRequest& request);
    void respondToMetrics(const std::shared_ptr<ServerConnection>& connection);
    ServerConnectionLimits connectionLimits();
    ServerConnectionLimits relayConnectionLimits();
    /// Waits until no request has been in progress for a short time, at most until `deadline`.
    void waitForRequests(TimePoint deadline);

    schema::SettingsT m_settings;
    EntryState m_state;
    ReadinessMonitor m_readinessMonitor { m_state.metrics };
    std::vector<std::unique_ptr<RequestLoop>> m_loops;
    EventLoop m_controlLoop;
    PlatformStore m_store;
    CatalogWatcher m_catalogWatcher;
    TargetWatcher m_targetWatcher;
    OrderLeaseElector m_elector;
    NodeRegistrar m_registrar;
    StoreRelay m_storeRelay;
    LostAnswerVerifier m_lostAnswerVerifier;
    TargetReachMonitor m_reachMonitor;
    std::unique_ptr<PeerMesh> m_mesh;
    std::unique_ptr<StreamOriginExchange> m_origins;
    std::unique_ptr<ControlWatcher> m_controlWatcher;
    std::unique_ptr<OrderDispatcher> m_dispatcher;
    std::unique_ptr<ServerListener> m_callerListener;
    std::unique_ptr<OptionalListener> m_relayListener; ///< Null if the node accepts no relayed requests.
    std::unique_ptr<ServerListener> m_probeListener;
    std::unique_ptr<OptionalListener> m_metricsListener; ///< Null if the settings have no address for it.
};

} // namespace cyclamenstair
