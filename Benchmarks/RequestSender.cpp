#include <Benchmarks/RequestSender.h>

#include <StandIns/EngineStandIn.h>

#include <atomic>
#include <httplib.h>
#include <sstream>
#include <thread>

namespace cyclamenstair::load {

namespace {

    using Json = nlohmann::json;
    using Clock = std::chrono::steady_clock;
    using testing::ObservedOutcome;

    constexpr auto responseTimeout = std::chrono::seconds(30);

    /// Returns the text of a buffered or streamed completion. Without the end marker of a stream, returns only half of
    /// the text, so that it does not pass as complete.
    std::string parseCompletionText(const std::string& body, bool isStream)
    {
        std::string text;
        const auto append = [&](const std::string& json) {
            const auto parsed = Json::parse(json, nullptr, false);
            if (parsed.is_object() && parsed.contains("choices") && !parsed["choices"].empty())
                text += parsed["choices"][0].value("text", "");
        };
        if (!isStream) {
            append(body);
            return text;
        }
        std::istringstream lines(body);
        bool hasEndMarker = false;
        for (std::string line; std::getline(lines, line);) {
            if (line == "data: [DONE]")
                hasEndMarker = true;
            else if (line.starts_with("data: "))
                append(line.substr(6));
        }
        return hasEndMarker ? text : text.substr(0, text.size() / 2);
    }

    std::string parseBookingText(const std::string& body)
    {
        const auto parsed = Json::parse(body, nullptr, false);
        return parsed.is_object() && parsed.value("confirmed", false) ? parsed.value("key", "") : "";
    }

    ObservedOutcome parseOutcome(const httplib::Response& response)
    {
        const auto header = response.get_header_value("X-Outcome");
        if (header == nameOf(ObservedOutcome::NotRun))
            return ObservedOutcome::NotRun;
        if (header == nameOf(ObservedOutcome::Unknown))
            return ObservedOutcome::Unknown;
        return response.status == 200 ? ObservedOutcome::Complete : ObservedOutcome::Incomplete;
    }

} // namespace

RequestResult RequestSender::send(const PlannedRequest& request) const
{
    httplib::Client client("http://" + m_addresses[request.number % m_addresses.size()]);
    client.set_connection_timeout(responseTimeout);
    client.set_read_timeout(responseTimeout);
    client.set_tcp_nodelay(true);
    const auto& caller = m_deployment->callers[request.caller];
    httplib::Headers headers { { "Authorization", "Bearer " + caller.token } };
    RequestResult result;
    result.record.requestNumber = request.number;
    if (request.kind == RequestKind::Booking) {
        headers.emplace("Idempotency-Key", request.prompt);
        result.record.key = request.prompt;
        result.record.expectedText = request.prompt;
    } else {
        result.record.expectedText = standin::expectedCompletion(request.artifact, request.prompt, request.tokens);
    }
    const auto path
        = request.kind == RequestKind::Booking ? "/services/" + request.artifact + "/slots" : "/v1/completions";
    const Json body { { "model", request.artifact }, { "prompt", request.prompt }, { "max_tokens", request.tokens },
        { "stream", request.isStream } };
    const auto response = client.Post(path.c_str(), headers, body.dump(), "application/json");
    if (!response) {
        const bool isSent = response.error() != httplib::Error::Connection;
        result.record.outcome = isSent ? ObservedOutcome::Incomplete : ObservedOutcome::NotSent;
        result.record.responseText = httplib::to_string(response.error());
        return result;
    }
    result.status = response->status;
    result.record.requestId = response->get_header_value("X-Request-Id");
    result.record.outcome = parseOutcome(*response);
    if (result.record.outcome == ObservedOutcome::Complete)
        result.record.responseText = request.kind == RequestKind::Booking
            ? parseBookingText(response->body)
            : parseCompletionText(response->body, request.isStream);
    else
        result.record.responseText = response->body;
    return result;
}

std::vector<RequestResult> RequestSender::sendAll(const std::vector<PlannedRequest>& requests, size_t threads) const
{
    std::vector<RequestResult> results(requests.size());
    std::atomic<size_t> nextIndex { 0 };
    const auto start = Clock::now();
    const auto sendRequests = [&] {
        for (size_t index = nextIndex++; index < requests.size(); index = nextIndex++) {
            const auto& request = requests[index];
            const auto arrival
                = start + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(request.atSeconds));
            std::this_thread::sleep_until(arrival);
            auto& result = results[index];
            const auto window = std::chrono::milliseconds(m_deployment->callers[request.caller].windowMs);
            if (Clock::now() - arrival < window)
                result = send(request);
            result.record.requestNumber = request.number;
            result.latencyMs = std::chrono::duration<double, std::milli>(Clock::now() - arrival).count();
        }
    };
    std::vector<std::thread> pool;
    for (size_t i = 0; i < threads; ++i)
        pool.emplace_back(sendRequests);
    for (auto& thread : pool)
        thread.join();
    return results;
}

} // namespace cyclamenstair::load
