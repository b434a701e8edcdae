#include <Benchmarks/LoadResult.h>

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace cyclamenstair::load {

using testing::ObservedOutcome;

void LoadResult::add(const Deployment& deployment, const std::vector<PlannedRequest>& plannedRequests,
    const std::vector<RequestResult>& results, double from, double to)
{
    seconds = to - from;
    for (size_t i = 0; i < plannedRequests.size(); ++i) {
        const auto& request = plannedRequests[i];
        const auto& result = results[i];
        if (request.atSeconds < from || request.atSeconds >= to)
            continue;
        ++requests;
        ++outcomes[result.record.outcome];
        if (result.record.outcome != ObservedOutcome::Complete)
            continue;
        const bool isCorrect = result.record.responseText == result.record.expectedText;
        if (isCorrect && result.latencyMs <= deployment.callers[request.caller].windowMs)
            ++inWindow;
        else
            ++late;
        if (request.kind == RequestKind::Booking)
            continue;
        latency[request.workClass].add(result.latencyMs);
        if (request.workClass == WorkClass::Short)
            shortWaitTimes.add(std::max(0.0, result.latencyMs - deployment.engineMs(request.tokens)));
    }
    attainmentPerAccelerator = static_cast<double>(inWindow) / deployment.engines;
    goodput = static_cast<double>(inWindow) / seconds;
}

uint64_t LoadResult::outcomeCount(ObservedOutcome outcome) const
{
    const auto found = outcomes.find(outcome);
    return found == outcomes.end() ? 0 : found->second;
}

nlohmann::json LoadResult::toJson() const
{
    nlohmann::json json { { "name", name }, { "seconds", seconds }, { "calls", requests }, { "in_window", inWindow },
        { "late", late }, { "attainment_per_accelerator", attainmentPerAccelerator }, { "goodput_per_s", goodput },
        { "model_moves", modelMoves }, { "extra_attempts", extraAttempts },
        { "short_waiting_ms",
            { { "p50", shortWaitTimes.percentile(0.5) }, { "p99", shortWaitTimes.percentile(0.99) } } },
        { "broken_invariants", findings.size() } };
    for (const auto& row : EnumNames<ObservedOutcome>::table)
        json["ends"][std::string(row.name)] = outcomeCount(row.value);
    for (const auto& [workClass, histogram] : latency)
        json["latency_ms"][std::string(nameOf(workClass))]
            = { { "count", histogram.count() }, { "p50", histogram.percentile(0.5) },
                  { "p95", histogram.percentile(0.95) }, { "p99", histogram.percentile(0.99) } };
    return json;
}

std::string formatTable(const std::vector<LoadResult>& results)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(0) << std::left << std::setw(34) << "run" << std::right;
    for (const char* column : { "calls", "in win", "att/acc", "refused", "unknown", "broken", "unsent", "moves",
             "extra", "s p50", "s p95", "s p99", "l p50", "l p95", "l p99", "w p50", "w p99" })
        text << std::setw(8) << column;
    text << "\n";
    for (auto result : results) {
        text << std::left << std::setw(34) << result.name << std::right;
        const auto addColumn = [&](auto value) { text << std::setw(8) << value; };
        addColumn(result.requests);
        addColumn(result.inWindow);
        addColumn(result.attainmentPerAccelerator);
        for (const auto outcome : { ObservedOutcome::NotRun, ObservedOutcome::Unknown, ObservedOutcome::Incomplete,
                 ObservedOutcome::NotSent })
            addColumn(result.outcomeCount(outcome));
        addColumn(result.modelMoves);
        addColumn(result.extraAttempts);
        for (const auto workClass : { WorkClass::Short, WorkClass::Long }) {
            for (const double share : { 0.5, 0.95, 0.99 })
                addColumn(result.latency[workClass].percentile(share));
        }
        addColumn(result.shortWaitTimes.percentile(0.5));
        addColumn(result.shortWaitTimes.percentile(0.99));
        text << "\n";
    }
    text << "s, l: latency of short and long work in ms; w: wait of short work in ms; unsent: caller window passed "
            "before the request was sent\n";
    return text.str();
}

nlohmann::json BoundCheck::toJson() const
{
    return { { "subject", subject }, { "measured", measured }, { "bound", bound },
        { "relation", isUpperBound ? "<=" : ">=" }, { "met", isMet() } };
}

std::string formatChecks(const std::vector<BoundCheck>& checks)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(3);
    for (const auto& check : checks)
        text << std::left << std::setw(78) << check.subject << std::right << std::setw(9) << check.measured
             << "  bound " << (check.isUpperBound ? "<= " : ">= ") << check.bound << "  "
             << (check.isMet() ? "met" : "not met") << "\n";
    return text.str();
}

} // namespace cyclamenstair::load
