#pragma once

#include <Cyclamenstair/Transport/AttemptInbox.h>
#include <Cyclamenstair/Transport/AttemptThreadPool.h>

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
    std::string cancelBody; ///< Body of `POST /v1/cancel` to the engine; empty for targets without that endpoint.
    Duration connectTimeout { milliseconds(1000) };
    Duration idleTimeout { milliseconds(10000) }; ///< Maximum time without progress of a read or write.
};

/// HTTP exchange of one attempt with a target, run on an AttemptThreadPool. Its events are pushed to an AttemptInbox.
class UpstreamAttempt {
public:
    /// Starts the exchange; its events carry the attempt number `number`. `threads` must outlive the attempt.
    static std::unique_ptr<UpstreamAttempt> start(
        AttemptThreadPool& threads, std::shared_ptr<AttemptInbox> inbox, uint32_t number, AttemptRequest request);

    /// Cancels the attempt if it is still running.
    ~UpstreamAttempt();

    /// Drops the attempt's events, closes the connection to the target and asks an engine to cancel the work. Returns
    /// immediately; the requests to the target run on another thread.
    void cancel();

private:
    struct Exchange;
    UpstreamAttempt(AttemptThreadPool& threads, std::shared_ptr<Exchange> exchange);

    AttemptThreadPool* m_threads;
    // Shared with the exchange's thread, which outlives this object if the attempt is cancelled.
    std::shared_ptr<Exchange> m_exchange;
    bool m_isCancelled { false };
};

} // namespace cyclamenstair
