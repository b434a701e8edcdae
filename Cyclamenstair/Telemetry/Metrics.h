#pragma once

#include <Cyclamenstair/Core/EnumNames.h>
#include <Cyclamenstair/Core/Sharded.h>
#include <Cyclamenstair/Core/Time.h>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenstair {

/// Kind of a metric in the Prometheus text format.
enum class MetricKind : uint8_t {
    Counter,
    Gauge,
    Summary,
};

template <> struct EnumNames<MetricKind> {
    static constexpr auto table = std::to_array<EnumName<MetricKind>>({
        { MetricKind::Counter, "counter" },
        { MetricKind::Gauge, "gauge" },
        { MetricKind::Summary, "summary" },
    });
};

/// Metrics that a node exports.
enum class Metric : uint8_t {
    Requests,
    RequestsInWindow,
    Refusals,
    ExtraAttempts,
    LostAttempts,
    RelayedRequests,
    PartVerdicts,
    TargetStatements,
    RequestSeconds,
    QueueSeconds,
    FirstByteSeconds,
    Moves,
    StoreCalls,
    FailedStoreCalls,
    Readiness,
    CallsInProgress,
    PlanRevision,
    Members,
    Targets,
    UnresponsiveTargets,
    TeamUnits,
    TeamRefusals,
    AllotmentLevel,
    ProcessStartTime,
    ProcessUptime,
    ResidentMemory,
    PeakResidentMemory,
    OpenDescriptors,
    MaxDescriptors,
    Threads,
    LostLogLines,
    FailedHandlers,
    BuildInfo,
};

template <> struct EnumNames<Metric> {
    static constexpr auto table = std::to_array<EnumName<Metric>>({
        { Metric::Requests, "cyclamenstair_requests_total" },
        { Metric::RequestsInWindow, "cyclamenstair_requests_in_window_total" },
        { Metric::Refusals, "cyclamenstair_refusals_total" },
        { Metric::ExtraAttempts, "cyclamenstair_extra_attempts_total" },
        { Metric::LostAttempts, "cyclamenstair_lost_attempts_total" },
        { Metric::RelayedRequests, "cyclamenstair_relayed_requests_total" },
        { Metric::PartVerdicts, "cyclamenstair_part_verdicts_total" },
        { Metric::TargetStatements, "cyclamenstair_target_statements_total" },
        { Metric::RequestSeconds, "cyclamenstair_request_seconds" },
        { Metric::QueueSeconds, "cyclamenstair_queue_seconds" },
        { Metric::FirstByteSeconds, "cyclamenstair_first_byte_seconds" },
        { Metric::Moves, "cyclamenstair_moves_total" },
        { Metric::StoreCalls, "cyclamenstair_store_calls_total" },
        { Metric::FailedStoreCalls, "cyclamenstair_store_calls_failed_total" },
        { Metric::Readiness, "cyclamenstair_readiness" },
        { Metric::CallsInProgress, "cyclamenstair_calls_in_progress" },
        { Metric::PlanRevision, "cyclamenstair_plan_revision" },
        { Metric::Members, "cyclamenstair_members" },
        { Metric::Targets, "cyclamenstair_targets" },
        { Metric::UnresponsiveTargets, "cyclamenstair_unresponsive_targets_total" },
        { Metric::TeamUnits, "cyclamenstair_team_units_total" },
        { Metric::TeamRefusals, "cyclamenstair_team_refusals_total" },
        { Metric::AllotmentLevel, "cyclamenstair_team_allotment_level" },
        { Metric::ProcessStartTime, "cyclamenstair_process_start_time_seconds" },
        { Metric::ProcessUptime, "cyclamenstair_process_uptime_seconds" },
        { Metric::ResidentMemory, "cyclamenstair_process_resident_memory_bytes" },
        { Metric::PeakResidentMemory, "cyclamenstair_process_peak_resident_memory_bytes" },
        { Metric::OpenDescriptors, "cyclamenstair_process_open_descriptors" },
        { Metric::MaxDescriptors, "cyclamenstair_process_max_descriptors" },
        { Metric::Threads, "cyclamenstair_process_threads" },
        { Metric::LostLogLines, "cyclamenstair_log_lines_dropped_total" },
        { Metric::FailedHandlers, "cyclamenstair_handlers_failed_total" },
        { Metric::BuildInfo, "cyclamenstair_build_info" },
    });
};

/// Kind, label and help text of a metric.
struct MetricDescription {
    MetricKind kind;
    const char* label; ///< Name of the label; empty if the metric has none.
    const char* help;
};

/// Returns the description of a metric.
MetricDescription describe(Metric metric);

/// Counters, gauges and summaries of a node. Thread-safe.
class Metrics {
public:
    /// Adds `count` to a counter.
    void add(Metric metric, const std::string& label = {}, uint64_t count = 1);

    /// Sets a gauge.
    void set(Metric metric, double value, const std::string& label = {});

    /// Adds a duration, measured at `now`, to a summary.
    void observe(Metric metric, Duration duration, TimePoint now, const std::string& label = {});

    /// Returns the value of a counter or gauge; 0 if it was never set.
    double value(Metric metric, const std::string& label = {}) const;

    /// Returns all metrics in the Prometheus text format, with durations in seconds.
    std::string prometheusText() const;

private:
    using Accumulator = boost::accumulators::accumulator_set<double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
            boost::accumulators::tag::extended_p_square>>;

    /// Distributions of the current and the last complete interval. Quantiles are read from the last complete one if
    /// there is one, so that they follow changes of load; count and sum cover the whole run.
    struct Summary {
        Accumulator current;
        std::optional<Accumulator> previous;
        TimePoint currentStart;
        uint64_t count { 0 };
        double sum { 0 };
    };

    struct Series {
        double value { 0 };
        std::optional<Summary> summary;
    };

    struct SeriesKey {
        Metric metric;
        std::string label;
        auto operator<=>(const SeriesKey&) const = default;
    };

    struct SeriesKeyHash {
        size_t operator()(const SeriesKey& key) const
        {
            return std::hash<std::string> {}(key.label) * 31 + static_cast<size_t>(key.metric);
        }
    };

    static std::string formatSeries(const SeriesKey& key, const Series& series);

    Sharded<SeriesKey, std::map<SeriesKey, Series>, 16, SeriesKeyHash> m_series;
};

} // namespace cyclamenstair
