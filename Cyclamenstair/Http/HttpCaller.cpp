#include <Cyclamenstair/Http/HttpCaller.h>

#include <Cyclamenstair/Core/Overloaded.h>

namespace cyclamenstair {

/// Shared by the connection's handler and the timer, whichever comes first.
struct HttpCaller::Call {
    explicit Call(boost::asio::io_context& context)
        : timer(context)
    {
    }

    boost::asio::steady_timer timer;
    std::shared_ptr<ClientConnection> connection;
    HttpAnswer answer;
    Handler handler;
};

void HttpCaller::call(
    const boost::asio::ip::tcp::endpoint& server, const HttpRequest& request, Duration timeout, Handler handler)
{
    auto call = std::make_shared<Call>(*m_context);
    call->handler = std::move(handler);
    call->connection = m_pool.take(server, monotonicNow());
    call->timer.expires_after(timeout);
    call->timer.async_wait([this, call](const boost::system::error_code& ec) {
        if (ec || !call->handler)
            return;
        call->connection->close();
        finish(call, CallFailed { true, { ErrorKind::Timeout, "http.call", {}, "no answer in time" } });
    });
    call->connection->send(encodeRequest(request), request.method == "HEAD",
        [this, call](ClientEvent event) { onEvent(call, std::move(event)); });
}

void HttpCaller::onEvent(const std::shared_ptr<Call>& call, ClientEvent event)
{
    std::visit(Overloaded {
                   [&](AnswerHeadRead& read) { call->answer.head = std::move(read.head); },
                   [&](AnswerDataRead& read) { call->answer.body += read.data; },
                   [&](AnswerComplete&) {
                       m_pool.giveBack(call->connection, monotonicNow());
                       finish(call, std::move(call->answer));
                   },
                   [&](CallFailed& failure) { finish(call, std::move(failure)); },
               },
        event);
}

void HttpCaller::finish(const std::shared_ptr<Call>& call, HttpOutcome outcome)
{
    boost::system::error_code ec;
    call->timer.cancel(ec);
    const auto handler = std::exchange(call->handler, nullptr);
    call->connection.reset();
    if (handler)
        handler(std::move(outcome));
}

} // namespace cyclamenstair
