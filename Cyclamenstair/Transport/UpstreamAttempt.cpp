#include <Cyclamenstair/Transport/UpstreamAttempt.h>

#include <condition_variable>
#include <deque>
#include <httplib.h>
#include <mutex>
#include <thread>

namespace cyclamenstair {

namespace {

    /// Bytes that may wait for a slow caller before the attempt stops reading from the target.
    constexpr size_t maxWaitingBytes = 1 << 20;

} // namespace

/// Bounded queue of events between the attempt's thread and the request's thread.
struct UpstreamAttempt::Channel {
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<AttemptEvent> events;
    size_t waitingBytes { 0 };
    bool isCancelled { false };
    std::unique_ptr<httplib::Client> client;

    /// Returns false if the attempt was cancelled.
    bool push(AttemptEvent event)
    {
        std::unique_lock lock(mutex);
        changed.wait(lock, [&] { return isCancelled || waitingBytes < maxWaitingBytes; });
        if (isCancelled)
            return false;
        if (const auto* data = std::get_if<AttemptData>(&event))
            waitingBytes += data->bytes.size();
        events.push_back(std::move(event));
        changed.notify_all();
        return true;
    }
};

namespace {

    AttemptHead headOf(const httplib::Response& response)
    {
        AttemptHead head;
        head.status = response.status;
        head.contentType = response.get_header_value("Content-Type");
        head.isNotRun = response.get_header_value("X-Not-Run") == "true";
        if (response.has_header("X-Load"))
            head.reportedLoad = std::strtod(response.get_header_value("X-Load").c_str(), nullptr);
        return head;
    }

    httplib::Request toHttp(const AttemptRequest& request)
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

std::unique_ptr<UpstreamAttempt> UpstreamAttempt::start(AttemptRequest request)
{
    auto channel = std::make_shared<Channel>();
    channel->client = std::make_unique<httplib::Client>("http://" + request.address);
    auto& client = *channel->client;
    client.set_connection_timeout(request.connectTimeout);
    client.set_read_timeout(request.idleTimeout);
    client.set_write_timeout(request.idleTimeout);
    client.set_tcp_nodelay(true);
    client.set_keep_alive(false);

    std::thread([channel, request = std::move(request)] {
        auto http = toHttp(request);
        http.response_handler = [&](const httplib::Response& response) { return channel->push(headOf(response)); };
        http.content_receiver = [&](const char* data, size_t size, uint64_t, uint64_t) {
            return channel->push(AttemptData { std::string(data, size) });
        };
        httplib::Response response;
        auto error = httplib::Error::Success;
        if (channel->client->send(http, response, error))
            channel->push(AttemptEnd {});
        else
            channel->push(AttemptFailed { error != httplib::Error::Connection, httplib::to_string(error) });
    }).detach();
    return std::unique_ptr<UpstreamAttempt>(new UpstreamAttempt(std::move(channel)));
}

UpstreamAttempt::UpstreamAttempt(std::shared_ptr<Channel> channel)
    : m_channel(std::move(channel))
{
}

UpstreamAttempt::~UpstreamAttempt() { cancel(); }

AttemptEvent UpstreamAttempt::next(TimePoint deadline)
{
    std::unique_lock lock(m_channel->mutex);
    if (!m_channel->changed.wait_until(lock, deadline, [&] { return !m_channel->events.empty(); }))
        return AttemptPending {};
    auto event = std::move(m_channel->events.front());
    m_channel->events.pop_front();
    if (const auto* data = std::get_if<AttemptData>(&event)) {
        m_channel->waitingBytes -= data->bytes.size();
        m_channel->changed.notify_all();
    }
    return event;
}

void UpstreamAttempt::cancel()
{
    {
        std::lock_guard lock(m_channel->mutex);
        if (m_channel->isCancelled)
            return;
        m_channel->isCancelled = true;
        m_channel->changed.notify_all();
    }
    m_channel->client->stop();
}

} // namespace cyclamenstair
