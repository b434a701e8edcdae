#include <Cyclamenstair/Transport/UpstreamAttempt.h>

#include <Cyclamenstair/Core/Overloaded.h>
#include <Cyclamenstair/Http/HttpExchange.h>

#include <atomic>

namespace cyclamenstair {

namespace {

    /// Timeout of a cancel request. A lost cancel request wastes engine time but affects no response.
    constexpr Duration cancelTimeout = milliseconds(1000);

    AttemptHead toAttemptHead(const HttpResponseHead& head)
    {
        AttemptHead result;
        result.status = static_cast<int>(head.status);
        result.contentType = fieldValue(head.fields, "Content-Type").value_or("");
        result.isNotRun = (head.status == 429 || head.status == 503) && fieldValue(head.fields, "X-Not-Run") == "true";
        if (const auto load = fieldValue(head.fields, "X-Load"))
            result.reportedLoad = std::strtod(load->c_str(), nullptr);
        return result;
    }

    HttpRequest buildHttpRequest(const AttemptRequest& request)
    {
        auto http = makeHttpRequest(
            request.method, request.path, request.body, request.body.empty() ? std::string() : request.contentType);
        // A request without a body states so where servers expect one.
        http.hasBody
            = !request.body.empty() || request.method == "POST" || request.method == "PUT" || request.method == "PATCH";
        for (const auto& [name, value] : request.headers)
            http.fields.emplace_back(name, value);
        return http;
    }

} // namespace

/// State of the exchange, shared with its threads.
struct UpstreamAttempt::Exchange {
    Exchange(std::shared_ptr<AttemptInbox> eventInbox, uint32_t attemptNumber, AttemptRequest attemptRequest)
        : inbox(std::move(eventInbox))
        , number(attemptNumber)
        , request(std::move(attemptRequest))
        , http(request.address, { .connectTimeout = request.connectTimeout, .idleTimeout = request.idleTimeout })
    {
    }

    void run()
    {
        const auto failure = http.run(buildHttpRequest(request), [this](const ResponsePart& part) {
            return std::visit(Overloaded {
                                  [this](const ResponseHeadPart& head) { return push(toAttemptHead(head.head)); },
                                  [this](const ResponseDataPart& data) { return push(AttemptData { data.data }); },
                                  [](const auto&) { return true; },
                              },
                part);
        });
        isFinished = true;
        if (failure)
            push(AttemptFailed { failure->wasSent, failure->error.message });
        else
            push(AttemptEnd {});
    }

    bool push(AttemptEvent event) { return inbox->push(number, std::move(event)); }

    /// Closes the connection and sends a cancel request to the engine.
    void abort()
    {
        http.cancel();
        if (request.cancelBody.empty())
            return;
        HttpExchange cancelRequest(request.address, { .connectTimeout = cancelTimeout, .idleTimeout = cancelTimeout });
        cancelRequest.call(makeHttpRequest("POST", "/v1/cancel", request.cancelBody, "application/json"));
    }

    // Shared by all attempts of the request; a cancelled one may end after the request.
    std::shared_ptr<AttemptInbox> inbox;
    uint32_t number;
    AttemptRequest request;
    HttpExchange http;
    std::atomic<bool> isFinished { false };
};

std::unique_ptr<UpstreamAttempt> UpstreamAttempt::start(
    AttemptThreadPool& threads, std::shared_ptr<AttemptInbox> inbox, uint32_t number, AttemptRequest request)
{
    auto exchange = std::make_shared<Exchange>(std::move(inbox), number, std::move(request));
    threads.post([exchange] { exchange->run(); });
    return std::unique_ptr<UpstreamAttempt>(new UpstreamAttempt(threads, std::move(exchange)));
}

UpstreamAttempt::UpstreamAttempt(AttemptThreadPool& threads, std::shared_ptr<Exchange> exchange)
    : m_threads(&threads)
    , m_exchange(std::move(exchange))
{
}

UpstreamAttempt::~UpstreamAttempt() { cancel(); }

void UpstreamAttempt::cancel()
{
    if (m_isCancelled)
        return;
    m_isCancelled = true;
    m_exchange->inbox->drop(m_exchange->number);
    if (m_exchange->isFinished)
        return;
    m_threads->post([exchange = m_exchange] { exchange->abort(); });
}

} // namespace cyclamenstair
