#pragma once

#include <Cyclamenstair/Transport/AttemptInbox.h>
#include <Cyclamenstair/Transport/AttemptThreads.h>

#include <map>
#include <memory>
#include <string>

namespace cyclamenstair {

/// HTTP request of one attempt.
struct AttemptRequest {
    std::string address; ///< "HOST:PORT" of the target.
    std::string method { "POST" };
    std::string path;
    std::string body;
    std::string contentType { "application/json" };
    std::map<std::string, std::string> headers;
    std::string cancelBody; ///< Body of the engine's `POST /v1/cancel`; empty for targets without it.
    Duration connectTimeout { milliseconds(1000) };
    Duration idleTimeout { milliseconds(10000) }; ///< Longest silence of the target.
};

/// One HTTP exchange with a target on a thread of AttemptThreads. Its events go to an inbox.
class UpstreamAttempt {
public:
    /// Starts the exchange; its events carry `number`. `threads` must outlive the attempt.
    static std::unique_ptr<UpstreamAttempt> start(
        AttemptThreads& threads, std::shared_ptr<AttemptInbox> inbox, uint32_t number, AttemptRequest request);

    /// Cancels the attempt if it still runs.
    ~UpstreamAttempt();

    /// Drops the attempt's events, ends the connection to the target and tells an engine to cancel the work. Returns at
    /// once; the calls to the target run on another thread.
    void cancel();

private:
    struct Exchange;
    UpstreamAttempt(AttemptThreads& threads, std::shared_ptr<Exchange> exchange);

    AttemptThreads* m_threads;
    // Shared with the exchange's thread, which ends after the object when the attempt is cancelled.
    std::shared_ptr<Exchange> m_exchange;
    bool m_isCancelled { false };
};

} // namespace cyclamenstair
