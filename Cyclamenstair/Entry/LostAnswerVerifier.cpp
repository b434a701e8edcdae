#include <Cyclamenstair/Entry/LostAnswerVerifier.h>

#include <Cyclamenstair/Http/Endpoint.h>
#include <Cyclamenstair/Telemetry/Log.h>

#include <platform/TargetCodec.h>

namespace cyclamenstair {

namespace {

    constexpr ClientConnectionSettings connectionSettings {
        .connectTimeout = LostAnswerVerifier::reportTimeout,
        .deadPeerTimeout = milliseconds(2000),
        .maxIdleTime = milliseconds(500),
    };

    /// Returns whether the report is that of the process that had the request.
    bool isSameProcess(const HttpOutcome& outcome, const AcquiredTarget& target)
    {
        const auto* response = std::get_if<HttpResponse>(&outcome);
        if (!response || target.startedUnixMs == 0)
            return false;
        const auto report = decodeReport(*response);
        return report && report.value().startedUnixMs == target.startedUnixMs;
    }

} // namespace

LostAnswerVerifier::LostAnswerVerifier(EventLoop& loop, EntryState& state)
    : m_loop(&loop)
    , m_state(&state)
    , m_client(loop.context(), connectionSettings, { .buffers = &state.controlBuffers })
{
}

void LostAnswerVerifier::submit(LostAnswer answer)
{
    m_loop->post([this, answer = std::move(answer)] { verify(answer); });
}

void LostAnswerVerifier::verify(const LostAnswer& answer)
{
    const auto endpoint = parseEndpoint(answer.target.address);
    if (!endpoint) {
        m_state->quarantine.addLostAnswer(answer.parts, answer.attempt, monotonicNow());
        return;
    }
    m_client.call(endpoint.value(), encodeReportRequest(answer.target.address), reportTimeout,
        [this, answer](const HttpOutcome& outcome) {
            if (isSameProcess(outcome, answer.target))
                logEvent(LogSeverity::Info, "lost_answer_of_running_target", { { "target", answer.target.id } });
            else
                m_state->quarantine.addLostAnswer(answer.parts, answer.attempt, monotonicNow());
        });
}

} // namespace cyclamenstair
