#pragma once

#include <Benchmarks/Soak/DayNodes.h>
#include <Benchmarks/Soak/DayRequests.h>

#include <Cyclamenstair/Http/ClientConnection.h>
#include <Cyclamenstair/Http/EventLoop.h>

namespace cyclamenstair {

/// One try of a request at a node, as its caller saw it.
struct DayTry {
    std::string id;
    size_t kind { 0 }; ///< Index of the kind of request.
    size_t node { 0 };
    bool isFirst { true };
    TimePoint sentAt;
    TimePoint endedAt;
    uint32_t status { 0 }; ///< 0 if there was no response.
    bool isServed { false }; ///< A success with the whole body.
    bool isAbandoned { false }; ///< The caller closed the connection before the end.
    std::string wrongBody; ///< What is wrong about the body of a success.
    std::string brokenStream; ///< What is wrong about the order or the end of the events.
};

/// Callers of a day on a few event loops, each with the callers of some failure domains. Requests arrive at the rates
/// of the day whether or not earlier ones have been answered. Thread-safe.
class DayCallers {
public:
    DayCallers(const DaySettings& settings, const DayNodes& nodes);
    ~DayCallers();
    DayCallers(const DayCallers&) = delete;
    DayCallers& operator=(const DayCallers&) = delete;

    /// Starts the traffic, whose rates vary from this time on.
    void start();
    /// Sends no more requests. Those that run go on.
    void end() { m_isEnded = true; }
    /// Stops the loops; requests that run are dropped.
    void stop();

    void change(const std::function<void(CallerBehaviour&)>& function);

    std::vector<DayTry> tries() const;

private:
    class Shard;

    CallerBehaviour behaviour() const;
    void record(DayTry result);

    const DaySettings* m_settings;
    const DayNodes* m_nodes;
    TimePoint m_startedAt;
    std::atomic<bool> m_isEnded { false };
    mutable std::mutex m_mutex; ///< Guards the members below.
    CallerBehaviour m_behaviour;
    std::vector<DayTry> m_tries;
    std::vector<std::unique_ptr<Shard>> m_shards;
};

} // namespace cyclamenstair
