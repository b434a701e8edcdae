#include <Benchmarks/LoadFleet.h>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <thread>

namespace cyclamenstair::load {

namespace {

    using Json = nlohmann::json;
    using testing::ProcessFleet;

    constexpr int faultAttempts = 10;
    constexpr int planLimitMs = 90000;
    constexpr auto settleInterval = std::chrono::seconds(2);

    /// Repeats the call, because an engine with many open requests answers late.
    void setFaultsPatiently(const std::string& address, const Json& faults)
    {
        for (int left = faultAttempts; left > 0; --left) {
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
        ProcessFleet::setFaults(m_processes.serviceAddress(service), { { "work_ms", Deployment::serviceMs } });
    waitForPlan();
}

void LoadFleet::waitForPlan()
{
    if (m_processes.acceptPlan(m_deployment.sheet()) != 0)
        throw std::runtime_error("the plan sheet was not accepted");
    auto names = m_deployment.artifacts();
    names.push_back(m_deployment.serviceName);
    for (int node = 0; node < m_deployment.nodes; ++node) {
        for (const auto& name : names) {
            if (!m_processes.waitUntilReachable(name, node, planLimitMs))
                throw std::runtime_error(name + " is not reachable at node " + std::to_string(node));
        }
    }
    // Further replicas follow; the run begins when their number has stopped growing.
    for (size_t before = 0, now = copies(); now != before; now = copies()) {
        before = now;
        std::this_thread::sleep_for(settleInterval);
    }
}

size_t LoadFleet::copies()
{
    size_t count = 0;
    const auto status = m_processes.status(0);
    for (const auto& target : status ? (*status)["targets"] : Json::array())
        count += target["artifacts"].size();
    return count;
}

int64_t LoadFleet::weightLoads()
{
    return ProcessFleet::fetchJson(m_processes.platformAddress(), "/loads").value("loads", int64_t(0));
}

LoadResult LoadFleet::run(const RunSettings& settings)
{
    const auto calls = generateCalls(m_deployment, settings.mix);
    const auto loadsBefore = weightLoads();
    std::vector<std::string> addresses;
    for (int node = 0; node < m_deployment.nodes; ++node)
        addresses.push_back(m_processes.callerAddress(node));

    std::thread faults([&] {
        const auto start = std::chrono::steady_clock::now();
        for (const auto& fault : settings.faults) {
            std::this_thread::sleep_until(start
                + std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                    std::chrono::duration<double>(fault.atSeconds)));
            for (const int engine : fault.engines)
                setFaultsPatiently(m_processes.engineAddress(engine), fault.faults);
        }
    });
    const auto results = CallSender(m_deployment, addresses).sendAll(calls, settings.threads);
    faults.join();

    LoadResult result;
    result.name = settings.name + ", " + std::string(nameOf(m_policy));
    result.add(m_deployment, calls, results, settings.countFrom,
        std::min(settings.countTo, settings.mix.rate.back().atSeconds));
    result.modelMoves = weightLoads() - loadsBefore;
    const auto logs = readLogs(results, result);
    std::vector<testing::ObservedRequest> records;
    for (const auto& call : results)
        records.push_back(call.record);
    result.findings = checkHistory(records, logs, calls.size());
    return result;
}

testing::TargetLogs LoadFleet::readLogs(const std::vector<CallResult>& results, LoadResult& result)
{
    std::set<std::string> ownIds;
    for (const auto& call : results)
        ownIds.insert(call.record.requestId);
    testing::TargetLogs logs;
    int64_t runs = 0;
    for (int engine = 0; engine < m_deployment.engines; ++engine) {
        const auto log = ProcessFleet::fetchJson(m_processes.engineAddress(engine), "/log");
        for (const auto& run : log["runs"]) {
            const auto id = run["request_id"].get<std::string>();
            logs.requestIds.insert(id);
            runs += ownIds.contains(id) ? 1 : 0;
        }
    }
    int64_t requests = 0;
    for (const auto& id : logs.requestIds)
        requests += ownIds.contains(id) ? 1 : 0;
    result.extraAttempts = runs - requests;
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
