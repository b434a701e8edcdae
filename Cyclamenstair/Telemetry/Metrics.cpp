#include <Cyclamenstair/Telemetry/Metrics.h>

#include <Cyclamenstair/Core/Utf8.h>

#include <iomanip>
#include <sstream>

namespace cyclamenstair {

namespace {

    constexpr std::array<double, 3> quantiles { 0.5, 0.95, 0.99 };
    /// Digits of counters and gauges: a counter above a million and a time in seconds keep theirs.
    constexpr int valueDigits = 15;
    constexpr Duration summaryWindow = std::chrono::seconds(60);

    /// Quantiles of fewer samples are not printed: the P-square estimate needs five samples for each marker.
    constexpr size_t minSamples = 10;

    std::string formatLabels(const char* name, const std::string& value, const std::string& extraLabel = {})
    {
        std::string text;
        if (*name != '\0') {
            text += std::string(name) + "=\"";
            appendPrintable(value, [&](char c) {
                if (c == '"' || c == '\\')
                    text += '\\';
                text += c;
            });
            text += '"';
        }
        if (!extraLabel.empty())
            text += (text.empty() ? "" : ",") + extraLabel;
        return text.empty() ? text : "{" + text + "}";
    }

} // namespace

MetricDescription describe(Metric metric)
{
    switch (metric) {
    case Metric::Requests:
        return { MetricKind::Counter, "outcome", "Requests by outcome." };
    case Metric::RequestsInWindow:
        return { MetricKind::Counter, "class", "Requests answered complete within their window." };
    case Metric::Refusals:
        return { MetricKind::Counter, "reason", "Requests answered with not run, by reason." };
    case Metric::ExtraAttempts:
        return { MetricKind::Counter, "kind", "Attempts after the first one of a request: repeat or resume." };
    case Metric::LostAttempts:
        return { MetricKind::Counter, "answer", "Attempts whose connection was lost, by how far the answer had come." };
    case Metric::RelayedRequests:
        return { MetricKind::Counter, "outcome",
            "Requests passed on between nodes: sent by this node, accepted, or not_accepted by it." };
    case Metric::PartVerdicts:
        return { MetricKind::Counter, "verdict", "Verdicts on prompt parts that make targets fail." };
    case Metric::TargetStatements:
        return { MetricKind::Counter, "statement",
            "Statements of targets that they leave, want a pause or are brittle." };
    case Metric::RequestSeconds:
        return { MetricKind::Summary, "class",
            "Time from arrival to the end of the answer, by class of work or by service." };
    case Metric::QueueSeconds:
        return { MetricKind::Summary, "class", "Time that requests waited in the node." };
    case Metric::FirstByteSeconds:
        return { MetricKind::Summary, "class",
            "Time from arrival to the first byte of the answer, by class of work or by service." };
    case Metric::Moves:
        return { MetricKind::Counter, "kind", "Loads and unloads ordered by this node." };
    case Metric::StoreCalls:
        return { MetricKind::Counter, "kind", "Calls to the key-value store; a waiting watch counts as one." };
    case Metric::FailedStoreCalls:
        return { MetricKind::Counter, "kind", "Calls to the key-value store that failed or were refused." };
    case Metric::Readiness:
        return { MetricKind::Gauge, "state", "1 for the state at the last readiness probe, 0 for the others." };
    case Metric::CallsInProgress:
        return { MetricKind::Gauge, "", "Calls that are being answered." };
    case Metric::PlanRevision:
        return { MetricKind::Gauge, "", "Revision of the plan in force." };
    case Metric::Members:
        return { MetricKind::Gauge, "", "Live nodes." };
    case Metric::Targets:
        return { MetricKind::Gauge, "", "Known targets." };
    case Metric::UnresponsiveTargets:
        return { MetricKind::Counter, "", "Targets found not to respond to the fleet's requests." };
    case Metric::TeamUnits:
        return { MetricKind::Counter, "team", "Units of the allotment that admitted requests cost, by team." };
    case Metric::TeamRefusals:
        return { MetricKind::Counter, "team", "Requests refused because the allotment is used, by team." };
    case Metric::AllotmentLevel:
        return { MetricKind::Gauge, "team", "Units left in the allotment as this node knows it, by team." };
    case Metric::ProcessStartTime:
        return { MetricKind::Gauge, "", "Start of the process, in seconds since 1970." };
    case Metric::ProcessUptime:
        return { MetricKind::Gauge, "", "Time since the start of the process." };
    case Metric::ResidentMemory:
        return { MetricKind::Gauge, "", "Memory of the process that is in use." };
    case Metric::PeakResidentMemory:
        return { MetricKind::Gauge, "", "Largest memory of the process so far." };
    case Metric::OpenDescriptors:
        return { MetricKind::Gauge, "", "Open file descriptors." };
    case Metric::MaxDescriptors:
        return { MetricKind::Gauge, "", "Limit of open file descriptors." };
    case Metric::Threads:
        return { MetricKind::Gauge, "", "Threads of the process." };
    case Metric::LostLogLines:
        return { MetricKind::Counter, "cause", "Lines of the log that were not written." };
    case Metric::FailedHandlers:
        return { MetricKind::Counter, "", "Handlers of event loops that ended with an exception (handler_failed)." };
    case Metric::BuildInfo:
        return { MetricKind::Gauge, "build", "1; the label names version, commit and architecture of the build." };
    }
    return { MetricKind::Gauge, "", "" };
}

void Metrics::add(Metric metric, const std::string& label, uint64_t count)
{
    const SeriesKey key { metric, label };
    m_series.withShard(key, [&](auto& series) { series[key].value += static_cast<double>(count); });
}

void Metrics::set(Metric metric, double value, const std::string& label)
{
    const SeriesKey key { metric, label };
    m_series.withShard(key, [&](auto& series) { series[key].value = value; });
}

void Metrics::observe(Metric metric, Duration duration, TimePoint now, const std::string& label)
{
    const auto makeAccumulator
        = [] { return Accumulator(boost::accumulators::extended_p_square_probabilities = quantiles); };
    const SeriesKey key { metric, label };
    m_series.withShard(key, [&](auto& series) {
        auto& summary = series[key].summary;
        if (!summary)
            summary = Summary { makeAccumulator(), std::nullopt, now, 0, 0 };
        if (now - summary->currentStart >= summaryWindow) {
            summary->previous = summary->current;
            summary->current = makeAccumulator();
            summary->currentStart = now;
        }
        summary->current(toSeconds(duration));
        ++summary->count;
        summary->sum += toSeconds(duration);
    });
}

double Metrics::value(Metric metric, const std::string& label) const
{
    const SeriesKey key { metric, label };
    return m_series.withShard(key, [&](const auto& series) {
        const auto found = series.find(key);
        return found == series.end() ? 0.0 : found->second.value;
    });
}

std::string Metrics::formatSeries(const SeriesKey& key, const Series& series)
{
    const auto name = std::string(nameOf(key.metric));
    const auto* label = describe(key.metric).label;
    std::ostringstream text;
    if (!series.summary) {
        text << std::setprecision(valueDigits) << name << formatLabels(label, key.label) << ' ' << series.value << '\n';
        return text.str();
    }
    const auto& summary = *series.summary;
    const auto& source = summary.previous ? *summary.previous : summary.current;
    if (boost::accumulators::count(source) >= minSamples) {
        const auto estimates = boost::accumulators::extended_p_square(source);
        for (size_t i = 0; i < quantiles.size(); ++i) {
            std::ostringstream quantile;
            quantile << "quantile=\"" << quantiles[i] << '"';
            text << name << formatLabels(label, key.label, quantile.str()) << ' '
                 << estimates[static_cast<std::ptrdiff_t>(i)] << '\n';
        }
    }
    text << name << "_sum" << formatLabels(label, key.label) << ' ' << summary.sum << '\n';
    text << name << "_count" << formatLabels(label, key.label) << ' ' << summary.count << '\n';
    return text.str();
}

std::string Metrics::prometheusText() const
{
    std::map<SeriesKey, std::string> lines;
    m_series.forEachShard([&](const auto& shard) {
        for (const auto& [key, series] : shard)
            lines.emplace(key, formatSeries(key, series));
    });
    std::string text;
    std::optional<Metric> previous;
    for (const auto& [key, line] : lines) {
        if (previous != key.metric) {
            const auto name = std::string(nameOf(key.metric));
            const auto description = describe(key.metric);
            text.append("# HELP ").append(name).append(" ").append(description.help).append("\n");
            text.append("# TYPE ").append(name).append(" ").append(nameOf(description.kind)).append("\n");
            previous = key.metric;
        }
        text += line;
    }
    return text;
}

} // namespace cyclamenstair
