#pragma once

#include <Benchmarks/Soak/DaySettings.h>

#include <Cyclamenstair/Core/Random.h>
#include <Cyclamenstair/Http/HttpMessage.h>

#include <map>
#include <optional>

namespace cyclamenstair {

/// How callers behave at the moment.
struct CallerBehaviour {
    std::map<std::string, double> rateFactors; ///< By kind of request; the empty name holds for all.
    double movedShare { 0 }; ///< Of the requests, which come from callers of another failure domain.
    double impatientShare { 0 }; ///< Of the requests, which callers abandon.
    Duration impatientTime { milliseconds(300) }; ///< After which they do.
    double insistentShare { 0 }; ///< Of the requests, which callers retry at once and more often.
    double retryFactor { 1 }; ///< By which these are retried more often.
    size_t demandShift { 0 }; ///< Position in the kinds' lists of models from which the most wanted one is counted.
};

/// A request of a day. Retries send it again with another id.
struct DayRequest {
    size_t kind { 0 };
    std::string model; ///< With its adapter; empty for plain services.
    int promptTokens { 0 };
    int outputTokens { 0 };
    size_t eventCount { 0 }; ///< Of a whole stream; 0 for plain services.
    std::string promptPrefix;
    int lengthHint { 0 };
    size_t bodyBytes { 0 };
    bool isImpatient { false };
    bool isInsistent { false };
};

/// Draws a request of the kind.
DayRequest drawRequest(const Site& site, size_t kind, const CallerBehaviour& behaviour, Random& random);

/// Returns the message of one try. `lastEvent` is the id of the last event that the caller has received.
HttpRequest makeMessage(
    const Site& site, const DayRequest& request, const std::string& id, Duration timeLeft, size_t lastEvent);

/// Returns what is wrong about the body of a success of a plain service, which must be the whole body for this request.
std::optional<std::string> findWrongBody(const std::string& body, const std::string& id, size_t meanResponseBytes);

/// Reads the events of a stream as they arrive.
class EventReader {
public:
    explicit EventReader(size_t lastEvent)
        : m_lastEvent(lastEvent)
    {
    }

    /// Returns the number of events that the bytes complete.
    size_t append(std::string_view bytes);
    size_t lastEvent() const { return m_lastEvent; }
    /// Describes the first event out of order; empty if there is none.
    const std::string& fault() const { return m_fault; }

private:
    void read(std::string_view event);

    std::string m_buffer;
    size_t m_lastEvent;
    std::string m_fault;
};

} // namespace cyclamenstair
