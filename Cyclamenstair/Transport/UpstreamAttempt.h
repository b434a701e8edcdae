#pragma once

#include <Cyclamenstair/Core/Time.h>

#include <map>
#include <memory>
#include <string>
#include <variant>

namespace cyclamenstair {

/// HTTP request of one attempt.
struct AttemptRequest {
    std::string address; ///< "HOST:PORT" of the target.
    std::string method { "POST" };
    std::string path;
    std::string body;
    std::string contentType { "application/json" };
    std::map<std::string, std::string> headers;
    Duration connectTimeout { milliseconds(1000) };
    Duration idleTimeout { milliseconds(10000) }; ///< Longest silence of the target.
};

/// Status and headers of the answer have arrived.
struct AttemptHead {
    int status { 0 };
    std::string contentType;
    bool isNotRun { false }; ///< The target refused the request before it started.
    double reportedLoad { -1 }; ///< Load that the target reports with the answer; negative if it reports none.
};

/// The next bytes of the body.
struct AttemptData {
    std::string bytes;
};

/// The body is complete by the rules of HTTP.
struct AttemptEnd { };

/// The attempt failed.
struct AttemptFailed {
    bool mayHaveRun { false }; ///< False only if no byte of the request reached the target.
    std::string message;
};

/// Nothing happened before the deadline; the attempt goes on.
struct AttemptPending { };

using AttemptEvent = std::variant<AttemptHead, AttemptData, AttemptEnd, AttemptFailed, AttemptPending>;

/// One HTTP exchange with a target on a thread of its own, whose events another thread takes.
class UpstreamAttempt {
public:
    static std::unique_ptr<UpstreamAttempt> start(AttemptRequest request);

    /// Cancels the attempt if it still runs.
    ~UpstreamAttempt();

    /// Returns the next event, or AttemptPending at `deadline`. After AttemptEnd or AttemptFailed there are no more
    /// events.
    AttemptEvent next(TimePoint deadline);

    /// Ends the connection to the target, which makes an engine cancel the work.
    void cancel();

private:
    struct Channel;
    explicit UpstreamAttempt(std::shared_ptr<Channel> channel);

    // Shared with the attempt's thread, which outlives the object by the time that closing the connection takes.
    std::shared_ptr<Channel> m_channel;
};

} // namespace cyclamenstair
