#include <Benchmarks/Soak/SoakObserver.h>

#include <Benchmarks/Soak/ProcessorTime.h>

#include <Cyclamenstair/Http/Endpoint.h>

#include <utility>

namespace cyclamenstair {

namespace {

    constexpr auto observeInterval = milliseconds(20);
    constexpr auto probeTimeout = milliseconds(500);
    constexpr uint32_t ok = 200;

} // namespace

SoakObserver::SoakObserver(const std::vector<SoakNode*>& nodes)
    : m_timer(m_loop.context())
    , m_client(m_loop.context(), ClientConnectionSettings {})
{
    for (auto* node : nodes)
        m_nodes.push_back({ node, parseEndpoint(node->probeAddress()).value(), std::nullopt, false });
    m_loop.post([this] { observe(); });
    m_loop.start();
}

SoakObserver::~SoakObserver() { m_loop.stop(); }

std::vector<SoakStart> SoakObserver::starts()
{
    std::lock_guard lock(m_mutex);
    return m_starts;
}

void SoakObserver::observe()
{
    for (auto& observed : m_nodes)
        observe(observed);
    m_timer.expires_after(observeInterval);
    m_timer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            observe();
    });
}

void SoakObserver::observe(ObservedNode& observed)
{
    const auto process = observed.node->currentProcess();
    if (!process)
        return;
    bool isReady = false;
    {
        std::lock_guard lock(m_mutex);
        if (!observed.start || m_starts[*observed.start].startedAt != process->startedAt) {
            observed.start = m_starts.size();
            m_starts.push_back({ observed.node->id(), process->id, process->startedAt, std::nullopt, {} });
        }
        auto& start = m_starts[*observed.start];
        start.observedFor = monotonicNow() - start.startedAt;
        isReady = start.readyAfter.has_value();
    }
    // The answer could be that of a predecessor that has not ended yet.
    if (!isReady && !observed.isProbed && !observed.node->isStopping())
        probe(observed);
}

void SoakObserver::probe(ObservedNode& observed)
{
    observed.isProbed = true;
    m_client.call(observed.probeEndpoint, { "GET", "/cyclamenstair/readiness", { { "Host", "h" } }, {}, false },
        probeTimeout, [this, &observed, start = *observed.start](const HttpOutcome& outcome) {
            observed.isProbed = false;
            const auto* response = std::get_if<HttpResponse>(&outcome);
            if (!response || response->head.status != ok)
                return;
            std::lock_guard lock(m_mutex);
            if (!m_starts[start].readyAfter)
                m_starts[start].readyAfter = monotonicNow() - m_starts[start].startedAt;
        });
}

SoakProcessorWindow::SoakProcessorWindow(const std::vector<SoakNode*>& nodes)
    : m_beginsAt(monotonicNow())
{
    for (auto* node : nodes) {
        const auto process = node->currentProcess();
        const auto used = process ? processorTimeOf(process->id) : std::nullopt;
        if (used)
            m_begins.push_back({ node, process->id, *used });
    }
}

std::vector<SoakProcessorUse> SoakProcessorWindow::uses() const
{
    std::vector<SoakProcessorUse> uses;
    for (const auto& begin : m_begins) {
        const auto process = begin.node->currentProcess();
        if (!process || process->id != begin.process || !begin.node->isCalmSince(m_beginsAt))
            continue;
        if (const auto used = processorTimeOf(process->id))
            uses.push_back({ begin.node->id(), process->id,
                toSeconds(*used - begin.used) / toSeconds(monotonicNow() - m_beginsAt) });
    }
    return uses;
}

} // namespace cyclamenstair
