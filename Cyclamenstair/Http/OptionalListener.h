#pragma once

#include <Cyclamenstair/Http/ServerListener.h>

#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace cyclamenstair {

/// Listener at an address that the process can do without. While another process holds the address, it is tried again
/// at a regular interval. Belongs to one event loop.
class OptionalListener {
public:
    /// Binds the address; see ServerListener::create().
    using Factory = std::function<Result<std::unique_ptr<ServerListener>>()>;
    /// Called once connections are accepted; again after an exception of it.
    using ListeningHandler = std::function<void()>;

    OptionalListener(boost::asio::io_context& context, std::string address, Factory factory);

    /// Tries to listen, and again until that succeeds or stopTrying() is called. The first failure is logged as
    /// `listener_unavailable`, and a later success as `listener_available`.
    void start(ListeningHandler onListening);

    /// Does not try again. A listener that accepts connections goes on.
    void stopTrying();

    /// See ServerListener::drainConnections().
    void drainConnections();

private:
    void tryToListen();
    /// Returns the reason if the address cannot be used.
    std::optional<Error> createListener();

    /// Time between two attempts, each of which takes a few system calls.
    static constexpr Duration retryInterval = milliseconds(1000);

    boost::asio::steady_timer m_timer;
    std::string m_address;
    Factory m_factory;
    ListeningHandler m_onListening;
    std::unique_ptr<ServerListener> m_listener; ///< Null until it accepts connections.
    bool m_hasFailed { false };
};

} // namespace cyclamenstair
