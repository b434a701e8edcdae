#pragma once

#include <Cyclamenstair/Core/BufferBudget.h>
#include <Cyclamenstair/Http/ConnectionPool.h>

namespace cyclamenstair {

using HttpOutcome = std::variant<HttpResponse, CallFailed>;

/// Bounds of an HttpClient.
struct HttpClientLimits {
    size_t maxBodyBytes { size_t { 16 } << 20U }; ///< Of one response.
    BufferBudget* buffers { nullptr }; ///< Bounds the bodies of all calls; not owned.
};

/// HTTP client that reads whole responses within a timeout, over pooled connections. Belongs to one event loop.
class HttpClient {
public:
    using Handler = std::function<void(HttpOutcome)>;

    HttpClient(
        boost::asio::io_context& context, const ClientConnectionSettings& settings, const HttpClientLimits& limits = {})
        : m_context(&context)
        , m_pool(context, settings)
        , m_limits(limits)
    {
    }

    /// Sends the request and passes the response or the failure to the handler. Runs on the loop's thread, as does the
    /// handler. A call that times out fails with ErrorKind::Timeout, one whose body exceeds the limits with
    /// ErrorKind::LimitExceeded. If `mayWrite` is set, it is called right before the request is written; if it returns
    /// false, the call fails and nothing is sent. The handler is not called if this function throws.
    void call(const boost::asio::ip::tcp::endpoint& server, const HttpRequest& request, Duration timeout,
        Handler handler, std::function<bool()> mayWrite = nullptr);

private:
    struct Call;

    void onEvent(const std::shared_ptr<Call>& call, ClientEvent event);
    void finish(const std::shared_ptr<Call>& call, HttpOutcome outcome);

    boost::asio::io_context* m_context;
    ConnectionPool m_pool;
    HttpClientLimits m_limits;
};

} // namespace cyclamenstair
