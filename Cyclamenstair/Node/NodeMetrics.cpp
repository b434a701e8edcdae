#include <Cyclamenstair/Node/NodeMetrics.h>

#include <Cyclamenstair/Node/GossipKeys.h>
#include <Cyclamenstair/Telemetry/ProcessInfo.h>

namespace cyclamenstair {

NodeMetrics::NodeMetrics(Metrics& metrics, const StoreClient& store, const ActivePlan& plans, const GossipTable& gossip,
    const TargetDirectory& directory, Duration memberTimeout)
    : m_metrics(&metrics)
    , m_store(&store)
    , m_plans(&plans)
    , m_gossip(&gossip)
    , m_directory(&directory)
    , m_memberTimeout(memberTimeout)
{
}

void NodeMetrics::recordAdmitted(const Request& request)
{
    const auto now = monotonicNow();
    m_metrics->observe(Metric::QueueSeconds, now - request.arrival, now, std::string(nameOf(request.workClass)));
}

void NodeMetrics::recordFirstByte(const Request& request)
{
    const auto now = monotonicNow();
    m_metrics->observe(Metric::FirstByteSeconds, now - request.arrival, now, std::string(nameOf(request.workClass)));
}

void NodeMetrics::recordComplete(const Request& request)
{
    const auto now = monotonicNow();
    const auto workClass = std::string(nameOf(request.workClass));
    m_metrics->add(Metric::Requests, std::string(nameOf(RequestOutcome::Complete)));
    if (now - request.arrival <= request.window)
        m_metrics->add(Metric::RequestsInWindow, workClass);
    m_metrics->observe(Metric::RequestSeconds, now - request.arrival, now, workClass);
}

void NodeMetrics::recordFailure(RequestOutcome outcome, const Error& error)
{
    m_metrics->add(Metric::Requests, std::string(nameOf(outcome)));
    if (outcome == RequestOutcome::NotRun)
        m_metrics->add(Metric::Refusals, error.step);
}

std::string NodeMetrics::prometheusText(int requestsInProgress)
{
    m_metrics->set(Metric::CallsInProgress, requestsInProgress);
    m_metrics->set(Metric::PlanRevision, static_cast<double>(m_plans->revision()));
    m_metrics->set(Metric::Members,
        static_cast<double>(m_gossip->recentKeys(memberKeyPrefix, m_memberTimeout, monotonicNow()).size()));
    m_metrics->set(Metric::Targets, static_cast<double>(m_directory->targets().size()));
    for (const auto& [kind, count] : m_store->callCounts())
        m_metrics->set(Metric::StoreCalls, static_cast<double>(count), std::string(nameOf(kind)));
    setProcessMetrics(*m_metrics);
    return m_metrics->prometheusText();
}

} // namespace cyclamenstair
