#include <Cyclamenstair/Transport/UpstreamAttempt.h>

#include <httplib.h>

namespace cyclamenstair {

namespace {

    /// Timeout of a cancel request. A lost cancel request wastes engine time but affects no response.
    constexpr Duration cancelTimeout = milliseconds(1000);

    /// Interval of the attempts to close a connection. The library ignores a stop() before its request has started.
    constexpr Duration stopRetryInterval = milliseconds(50);

    void setTimeouts(httplib::Client& client, Duration connect, Duration idle)
    {
        client.set_connection_timeout(connect);
        client.set_read_timeout(idle);
        client.set_write_timeout(idle);
        client.set_tcp_nodelay(true);
        client.set_keep_alive(false);
    }

    AttemptHead parseHead(const httplib::Response& response)
    {
        AttemptHead head;
        head.status = response.status;
        head.contentType = response.get_header_value("Content-Type");
        head.isNotRun
            = (response.status == 429 || response.status == 503) && response.get_header_value("X-Not-Run") == "true";
        if (response.has_header("X-Load"))
            head.reportedLoad = std::strtod(response.get_header_value("X-Load").c_str(), nullptr);
        return head;
    }

    httplib::Request buildHttpRequest(const AttemptRequest& request)
    {
        httplib::Request http;
        http.method = request.method;
        http.path = request.path;
        http.body = request.body;
        for (const auto& [name, value] : request.headers)
            http.set_header(name.c_str(), value.c_str());
        if (!request.body.empty())
            http.set_header("Content-Type", request.contentType.c_str());
        return http;
    }

} // namespace

/// State of the exchange, shared with its threads.
struct UpstreamAttempt::Exchange {
    Exchange(std::shared_ptr<AttemptInbox> eventInbox, uint32_t attemptNumber, AttemptRequest attemptRequest)
        : inbox(std::move(eventInbox))
        , number(attemptNumber)
        , request(std::move(attemptRequest))
        , client("http://" + request.address)
    {
        setTimeouts(client, request.connectTimeout, request.idleTimeout);
    }

    void run()
    {
        auto http = buildHttpRequest(request);
        http.response_handler = [this](const httplib::Response& response) { return push(parseHead(response)); };
        http.content_receiver = [this](const char* data, size_t size, uint64_t, uint64_t) {
            return push(AttemptData { { data, size } });
        };
        httplib::Response response;
        auto error = httplib::Error::Success;
        const bool isSuccess = client.send(http, response, error);
        {
            std::lock_guard lock(mutex);
            isFinished = true;
            finished.notify_all();
        }
        // Only a failed connect proves that no byte of the request reached the target.
        const bool mayHaveRun = error != httplib::Error::Connection && error != httplib::Error::ConnectionTimeout;
        if (isSuccess)
            push(AttemptEnd {});
        else
            push(AttemptFailed { mayHaveRun, httplib::to_string(error) });
    }

    bool push(AttemptEvent event) { return inbox->push(number, std::move(event)); }

    /// Closes the connection and sends a cancel request to the engine.
    void abort()
    {
        client.stop();
        if (!request.cancelBody.empty()) {
            httplib::Client cancelClient("http://" + request.address);
            setTimeouts(cancelClient, cancelTimeout, cancelTimeout);
            cancelClient.Post("/v1/cancel", request.cancelBody, "application/json");
        }
        std::unique_lock lock(mutex);
        while (!finished.wait_for(lock, stopRetryInterval, [this] { return isFinished; })) {
            lock.unlock();
            client.stop();
            lock.lock();
        }
    }

    // Shared by all attempts of the request; a cancelled one may end after the request.
    std::shared_ptr<AttemptInbox> inbox;
    uint32_t number;
    AttemptRequest request;
    httplib::Client client;
    std::mutex mutex;
    std::condition_variable finished;
    bool isFinished { false };
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
    {
        std::lock_guard lock(m_exchange->mutex);
        if (m_exchange->isFinished)
            return;
    }
    m_threads->post([exchange = m_exchange] { exchange->abort(); });
}

} // namespace cyclamenstair
