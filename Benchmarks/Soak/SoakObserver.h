#pragma once

#include <Benchmarks/Soak/SoakNode.h>

#include <Cyclamenstair/Http/EventLoop.h>
#include <Cyclamenstair/Http/HttpClient.h>

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenstair {

/// Start of a node's process.
struct SoakStart {
    std::string node;
    pid_t process { 0 };
    TimePoint startedAt;
    std::optional<Duration> readyAfter; ///< Time from the start to the first success of the readiness probe.
    Duration observedFor {}; ///< Time from the start to the last moment at which the process was seen to run.
};

/// Probes the readiness of the nodes' processes more often than the platform does, each until it is ready. Thread-safe.
class SoakObserver {
public:
    /// The nodes are not owned and must outlive the observer.
    explicit SoakObserver(const std::vector<SoakNode*>& nodes);
    ~SoakObserver();
    SoakObserver(const SoakObserver&) = delete;
    SoakObserver& operator=(const SoakObserver&) = delete;

    /// Returns all starts so far. Processes that ended before the observer saw them are missing.
    std::vector<SoakStart> starts();

private:
    struct ObservedNode {
        SoakNode* node;
        boost::asio::ip::tcp::endpoint probeEndpoint;
        std::optional<size_t> start; ///< Index of the last start.
        bool isProbed { false }; ///< A probe has been sent and not answered.
    };

    void observe();
    void observe(ObservedNode& observed);
    void probe(ObservedNode& observed);

    std::vector<ObservedNode> m_nodes; ///< Belongs to the thread of the loop.
    std::mutex m_mutex; ///< Guards m_starts.
    std::vector<SoakStart> m_starts;
    EventLoop m_loop;
    boost::asio::steady_timer m_timer;
    HttpClient m_client;
};

/// Processor time that a process used in a window of time.
struct SoakProcessorUse {
    std::string node;
    pid_t process { 0 };
    double share { 0 }; ///< Of a core.
};

/// Measures the processor time of the nodes' processes in a window of time.
class SoakProcessorWindow {
public:
    /// Begins the window. The nodes are not owned and must outlive it.
    explicit SoakProcessorWindow(const std::vector<SoakNode*>& nodes);

    /// Returns the use from the begin of the window until now by the processes that have run all the time. Nodes that
    /// were disturbed in the window are left out.
    std::vector<SoakProcessorUse> uses() const;

private:
    struct Begin {
        SoakNode* node;
        pid_t process;
        Duration used;
    };

    TimePoint m_beginsAt;
    std::vector<Begin> m_begins;
};

} // namespace cyclamenstair
