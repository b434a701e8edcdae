#include <Benchmarks/CallSender.h>

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

    constexpr auto answerLimit = std::chrono::seconds(30);

    /// Returns the text of a whole or streamed completion; a part of it if the stream has no end mark.
    std::string completionText(const std::string& body, bool isStream)
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
        bool isDone = false;
        for (std::string line; std::getline(lines, line);) {
            if (line == "data: [DONE]")
                isDone = true;
            else if (line.starts_with("data: "))
                append(line.substr(6));
        }
        return isDone ? text : text.substr(0, text.size() / 2);
    }

    std::string bookingText(const std::string& body)
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

CallResult CallSender::send(const PlannedCall& call) const
{
    httplib::Client client("http://" + m_addresses[call.number % m_addresses.size()]);
    client.set_connection_timeout(answerLimit);
    client.set_read_timeout(answerLimit);
    client.set_tcp_nodelay(true);
    const auto& caller = m_deployment->callers[call.caller];
    httplib::Headers headers { { "Authorization", "Bearer " + caller.token } };
    CallResult result;
    result.record.requestNumber = call.number;
    if (call.kind == CallKind::Booking) {
        headers.emplace("Idempotency-Key", call.prompt);
        result.record.key = call.prompt;
        result.record.expectedText = call.prompt;
    } else {
        result.record.expectedText = standin::expectedAnswer(call.artifact, call.prompt, call.tokens);
    }
    const auto path = call.kind == CallKind::Booking ? "/services/" + call.artifact + "/slots" : "/v1/completions";
    const Json body { { "model", call.artifact }, { "prompt", call.prompt }, { "max_tokens", call.tokens },
        { "stream", call.isStream } };
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
        result.record.responseText = call.kind == CallKind::Booking ? bookingText(response->body)
                                                                    : completionText(response->body, call.isStream);
    else
        result.record.responseText = response->body;
    return result;
}

std::vector<CallResult> CallSender::sendAll(const std::vector<PlannedCall>& calls, size_t threads) const
{
    std::vector<CallResult> results(calls.size());
    std::atomic<size_t> next { 0 };
    const auto start = Clock::now();
    const auto work = [&] {
        for (size_t index = next++; index < calls.size(); index = next++) {
            const auto& call = calls[index];
            const auto arrival
                = start + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(call.atSeconds));
            std::this_thread::sleep_until(arrival);
            auto& result = results[index];
            const auto window = std::chrono::milliseconds(m_deployment->callers[call.caller].windowMs);
            if (Clock::now() - arrival < window)
                result = send(call);
            result.record.requestNumber = call.number;
            result.latencyMs = std::chrono::duration<double, std::milli>(Clock::now() - arrival).count();
        }
    };
    std::vector<std::thread> pool;
    for (size_t i = 0; i < threads; ++i)
        pool.emplace_back(work);
    for (auto& thread : pool)
        thread.join();
    return results;
}

} // namespace cyclamenstair::load
