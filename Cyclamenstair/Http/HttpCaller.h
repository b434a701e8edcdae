#pragma once

#include <Cyclamenstair/Http/ConnectionPool.h>

namespace cyclamenstair {

using HttpOutcome = std::variant<HttpAnswer, CallFailed>;

/// Calls that return a whole answer within a time limit, over the connections of one event loop.
class HttpCaller {
public:
    using Handler = std::function<void(HttpOutcome)>;

    HttpCaller(boost::asio::io_context& context, const ClientConnectionSettings& settings)
        : m_context(&context)
        , m_pool(context, settings)
    {
    }

    /// Sends the request and passes on the answer, or the failure. Called on the loop's thread, as is the handler.
    void call(
        const boost::asio::ip::tcp::endpoint& server, const HttpRequest& request, Duration timeout, Handler handler);

private:
    struct Call;

    void onEvent(const std::shared_ptr<Call>& call, ClientEvent event);
    void finish(const std::shared_ptr<Call>& call, HttpOutcome outcome);

    boost::asio::io_context* m_context;
    ConnectionPool m_pool;
};

} // namespace cyclamenstair
