#pragma once

#include <Cyclamenstair/Core/Random.h>
#include <StandIns/SimulatedTarget.h>

#include <functional>

namespace cyclamenstair {

/// Request to a simulated target, without its connection.
struct SimulatedRequest {
    std::string id;
    std::string model; ///< Of an engine.
    std::string adapter;
    int64_t promptTokens { 0 };
    int64_t outputTokens { 0 };
    int64_t lastEvent { 0 }; ///< That the caller has; the stream continues after it.
    int urgency { 5 }; ///< 0 is admitted first.
    std::optional<TimePoint> deadline;
    int slowness { 1 }; ///< Factor of the time that the request takes.
    double stepFactor { 1 }; ///< Of the request's model.
};

/// What happens to a request as time passes.
enum class SimulatedStepKind : uint8_t {
    Begun, ///< Counts as run from now on.
    Event, ///< An event of its stream was made.
    Completed,
    ExpiredUnrun, ///< Its deadline passed before it ran.
    Expired, ///< Its deadline passed while it ran.
};

struct SimulatedStep {
    SimulatedStepKind kind { SimulatedStepKind::Begun };
    uint64_t request { 0 };
    int64_t event { 0 }; ///< Number of the event.
};

/// Requests that wait or run at a simulated target. Reads no clock. A request of a plain service runs from its
/// admission, one of an engine from its first event, as in the users' protocol.
class SimulatedBatch {
public:
    /// Returns whether the caller of a request reads too slowly to be sent more.
    using CongestionPredicate = std::function<bool(uint64_t request)>;

    SimulatedBatch(const SimulatedTargetSettings& settings, uint64_t seed);

    /// Adds a request under a number of its own. Returns false if there is no room for it.
    bool add(uint64_t number, SimulatedRequest request, TimePoint now);
    void remove(uint64_t number);
    void clear();
    /// Removes the waiting requests of a model, or of one of its adapters if that is not empty, and returns them.
    std::vector<uint64_t> removeWaiting(const std::string& model, const std::string& adapter);
    /// Advances to `now` and returns what happened, in order. Requests that completed or expired are removed.
    std::vector<SimulatedStep> advance(TimePoint now, const CongestionPredicate& isCongested);
    /// Returns the time at which something happens next, or no value if nothing will.
    std::optional<TimePoint> nextTime() const;

    bool isInUse(const std::string& model, const std::string& adapter) const;
    size_t runningCount() const;
    size_t waitingCount() const { return m_entries.size() - runningCount(); }
    int64_t usedMemoryTokens() const;
    int64_t totalMemoryTokens() const { return engine() ? engine()->memoryTokens : 0; }

private:
    struct Entry {
        SimulatedRequest request;
        bool isAdmitted { false };
        bool hasBegun { false };
        TimePoint readyAt; ///< End of the work at a service, and of the prompt at an engine.
        int64_t nextEvent { 0 };
        int stepsLeft { 0 }; ///< Until the next event.
    };

    void admit(TimePoint now, std::vector<SimulatedStep>& steps);
    bool hasRoomFor(const SimulatedRequest& request) const;
    Duration timeUntilReady(const SimulatedRequest& request);
    void expire(TimePoint now, std::vector<SimulatedStep>& steps);
    /// Completes the requests of a service that are due.
    void advanceService(TimePoint now, std::vector<SimulatedStep>& steps);
    /// Ends a step of the engine if it is due, and begins the next one if there are requests whose prompt is read.
    void advanceEngine(TimePoint now, const CongestionPredicate& isCongested, std::vector<SimulatedStep>& steps);
    void makeEvents(TimePoint now, const CongestionPredicate& isCongested, std::vector<SimulatedStep>& steps);
    Duration stepTime() const;
    /// Returns the number of the last event of the request's stream.
    int64_t eventCount(const SimulatedRequest& request) const;
    const EngineWorkload* engine() const { return std::get_if<EngineWorkload>(&m_workload); }
    static int64_t memoryTokens(const SimulatedRequest& request) { return request.promptTokens + request.outputTokens; }

    /// Shortest step, so that settings without a step time do not keep the loop busy.
    static constexpr Duration minStepTime = milliseconds(1);

    SimulatedWorkload m_workload;
    size_t m_slots;
    size_t m_maxQueued;
    Random m_random;
    std::map<uint64_t, Entry> m_entries; ///< By number, which is the order of arrival.
    std::optional<TimePoint> m_stepEnd; ///< Of an engine's step in progress.
};

} // namespace cyclamenstair
