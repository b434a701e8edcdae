#include <Benchmarks/LoadFleet.h>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <thread>

namespace cyclamenstair::load {

namespace {

    using Json = nlohmann::json;
    using testing::ProcessFleet;

    constexpr int maxFaultAttempts = 10;
    constexpr int planTimeoutMs = 90000;
    constexpr auto copyCountPollInterval = std::chrono::seconds(2);

    /// Retries, because an engine with many open requests may respond after the client's timeout.
    void setFaultsWithRetry(const std::string& address, const Json& faults)
    {
        for (int attemptsLeft = maxFaultAttempts; attemptsLeft > 0; --attemptsLeft) {
            try {
                ProcessFleet::setFaults(address, faults);
                return;
            } catch (const std::runtime_error& error) {
                std::cerr << error.what() << "; the fault is set late\n";
            }
        }
    }

} // namespace

LoadFleet::LoadFleet(const Deployment& deployment, PolicyKind policy)
    : m_deployment(deployment)
    , m_policy(policy)
    , m_processes(deployment.fleetSettings(policy))
{
    for (int service = 0; service < deployment.services; ++service)
        ProcessFleet::setFaults(m_processes.serviceAddress(service), { { "work_ms", Deployment::serviceTimeMs } });
    waitForPlan();
}

void LoadFleet::waitForPlan()
{
    if (m_processes.acceptPlan(m_deployment.sheet()) != 0)
        throw std::runtime_error("cyclamenstairctl plan accept failed");
    auto names = m_deployment.artifacts();
    names.push_back(m_deployment.serviceName);
    for (int node = 0; node < m_deployment.nodes; ++node) {
        for (const auto& name : names) {
            if (!m_processes.waitUntilReachable(name, node, planTimeoutMs))
                throw std::runtime_error(name + " is not reachable at node " + std::to_string(node));
        }
    }
    // Further replicas are loaded after the first; waits until the number of copies is stable.
    for (size_t previousCount = 0, currentCount = copyCount(); currentCount != previousCount;
         currentCount = copyCount()) {
        previousCount = currentCount;
        std::this_thread::sleep_for(copyCountPollInterval);
    }
}

size_t LoadFleet::copyCount()
{
    size_t count = 0;
    const auto status = m_processes.status(0);
    for (const auto& target : status ? (*status)["targets"] : Json::array())
        count += target["artifacts"].size();
    return count;
}

int64_t LoadFleet::weightLoadCount()
{
    return ProcessFleet::fetchJson(m_processes.platformAddress(), "/loads").value("loads", int64_t(0));
}

LoadResult LoadFleet::run(const RunSettings& settings)
{
    const auto requests = generateRequests(m_deployment, settings.mix);
    const auto loadsBefore = weightLoadCount();
    std::vector<std::string> addresses;
    for (int node = 0; node < m_deployment.nodes; ++node)
        addresses.push_back(m_processes.callerAddress(node));

    std::thread faultThread([&] {
        const auto start = std::chrono::steady_clock::now();
        for (const auto& fault : settings.faults) {
            std::this_thread::sleep_until(start
                + std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                    std::chrono::duration<double>(fault.atSeconds)));
            for (const int engine : fault.engines)
                setFaultsWithRetry(m_processes.engineAddress(engine), fault.faults);
        }
    });
    const auto results = RequestSender(m_deployment, addresses).sendAll(requests, settings.threads);
    faultThread.join();

    LoadResult result;
    result.name = settings.name + ", " + std::string(nameOf(m_policy));
    result.add(m_deployment, requests, results, settings.measureFromSeconds,
        std::min(settings.measureToSeconds, settings.mix.rate.back().atSeconds));
    result.modelMoves = weightLoadCount() - loadsBefore;
    const auto logs = collectTargetLogs(results, result);
    std::vector<testing::ObservedRequest> records;
    for (const auto& sent : results)
        records.push_back(sent.record);
    result.findings = checkHistory(records, logs, requests.size());
    return result;
}

testing::TargetLogs LoadFleet::collectTargetLogs(const std::vector<RequestResult>& results, LoadResult& result)
{
    std::set<std::string> sentRequestIds;
    for (const auto& sent : results)
        sentRequestIds.insert(sent.record.requestId);
    testing::TargetLogs logs;
    int64_t runs = 0;
    for (int engine = 0; engine < m_deployment.engines; ++engine) {
        const auto log = ProcessFleet::fetchJson(m_processes.engineAddress(engine), "/log");
        for (const auto& run : log["runs"]) {
            const auto id = run["request_id"].get<std::string>();
            logs.requestIds.insert(id);
            runs += sentRequestIds.contains(id) ? 1 : 0;
        }
    }
    int64_t requestsRun = 0;
    for (const auto& id : logs.requestIds)
        requestsRun += sentRequestIds.contains(id) ? 1 : 0;
    result.extraAttempts = runs - requestsRun;
    for (int service = 0; service < m_deployment.services; ++service) {
        const auto log = ProcessFleet::fetchJson(m_processes.serviceAddress(service), "/log");
        for (const auto& id : log["request_ids"])
            logs.requestIds.insert(id.get<std::string>());
        for (const auto& [key, count] : log["runs_by_key"].items())
            logs.runsByKey[key] += count.get<int>();
    }
    return logs;
}

} // namespace cyclamenstair::load
