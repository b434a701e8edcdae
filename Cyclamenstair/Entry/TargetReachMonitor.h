#pragma once

#include <Cyclamenstair/Entry/EntryState.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace cyclamenstair {

/// Verifies the path to the targets by opening connections, without sending requests: while TargetReach suspects that
/// it is lost, and while the node is isolated, to find out when it is back. Belongs to one event loop.
class TargetReachMonitor {
public:
    TargetReachMonitor(boost::asio::io_context& context, EntryState& state, uint64_t seed);

    void start() { tick(); }

private:
    /// One attempt to open a connection. Its pending operations share its ownership.
    struct Probe {
        explicit Probe(boost::asio::io_context& context)
            : socket(context)
            , timer(context)
        {
        }

        boost::asio::ip::tcp::socket socket;
        boost::asio::steady_timer timer;
        bool isEnded { false };
    };

    void tick();
    /// Opens connections to targets that have not failed, or to any if the node is isolated.
    void probe(TimePoint now);
    void connect(const TargetRecord& target, size_t targetCount);
    void onEnded(Probe& probe, const std::string& target, size_t targetCount, const std::string& error);

    boost::asio::io_context* m_context;
    EntryState* m_state;
    boost::asio::steady_timer m_timer;
    Random m_random;
    size_t m_pendingProbes { 0 };
    TimePoint m_probedAt;
};

} // namespace cyclamenstair
