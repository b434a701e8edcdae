#include <Cyclamenstair/Http/HttpClient.h>

#include <Cyclamenstair/Core/Overloaded.h>
#include <Cyclamenstair/Telemetry/FailureGuard.h>

namespace cyclamenstair {

/// State of one call, shared by the connection's handler and the timer. The first to finish calls `handler` and clears
/// it.
struct HttpClient::Call {
    Call(boost::asio::io_context& context, BufferBudget* buffers)
        : timer(context)
        , bodyShare(buffers)
    {
    }

    boost::asio::steady_timer timer;
    std::shared_ptr<ClientConnection> connection;
    HttpResponse response;
    BufferShare bodyShare;
    Handler handler;
};

void HttpClient::call(const boost::asio::ip::tcp::endpoint& server, const HttpRequest& request, Duration timeout,
    Handler handler, std::function<bool()> mayWrite)
{
    auto call = std::make_shared<Call>(*m_context, m_limits.buffers);
    const FailureGuard guard([&] {
        call->handler = nullptr;
        if (call->connection)
            call->connection->close();
    });
    call->handler = std::move(handler);
    call->connection = m_pool.acquire(server, monotonicNow());
    call->timer.expires_after(timeout);
    call->timer.async_wait([this, call](const boost::system::error_code& ec) {
        if (ec || !call->handler)
            return;
        call->connection->close();
        finish(call,
            CallFailed { true, { ErrorKind::Timeout, "http.call", {}, "no complete response within the timeout" } });
    });
    call->connection->send(
        encodeRequest(request), request.method == "HEAD",
        [this, call](ClientEvent event) { onEvent(call, std::move(event)); }, std::move(mayWrite));
}

void HttpClient::onEvent(const std::shared_ptr<Call>& call, ClientEvent event)
{
    std::visit(
        Overloaded {
            [&](ResponseHeadReceived& received) { call->response.head = std::move(received.head); },
            [&](ResponseDataReceived& received) {
                call->response.body += received.data;
                const auto bytes = call->response.body.size();
                if (bytes <= m_limits.maxBodyBytes && call->bodyShare.resize(bytes))
                    return;
                call->connection->close();
                finish(call,
                    CallFailed { true, { ErrorKind::LimitExceeded, "http.call", {}, "response body is too large" } });
            },
            [&](ResponseComplete&) {
                m_pool.release(call->connection, monotonicNow());
                finish(call, std::move(call->response));
            },
            [&](CallFailed& failure) { finish(call, std::move(failure)); },
        },
        event);
}

void HttpClient::finish(const std::shared_ptr<Call>& call, HttpOutcome outcome)
{
    boost::system::error_code ec;
    call->timer.cancel(ec);
    const auto handler = std::exchange(call->handler, nullptr);
    call->connection.reset();
    if (handler)
        handler(std::move(outcome));
}

} // namespace cyclamenstair
