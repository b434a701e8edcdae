#include <Benchmarks/Deployment.h>

#include <Cyclamenstair/Core/Crypto.h>

#include <algorithm>
#include <sstream>

namespace cyclamenstair::load {

namespace {

    constexpr int modelMib = 2048;
    constexpr int adapterMib = 64;
    constexpr int shortWindowMs = 1000;
    constexpr int longWindowMs = 6000;

    std::string modelName(int index) { return "model-" + std::to_string(index); }
    std::string adapterName(int index) { return "adapter-" + std::to_string(index); }

    /// Returns the number of replicas of the model with the given popularity rank.
    int replicaCount(int rank)
    {
        if (rank < 3)
            return 8 - 2 * rank;
        return rank < 8 ? 3 : 2;
    }

} // namespace

Deployment Deployment::create(DeploymentKind kind)
{
    Deployment deployment;
    if (kind == DeploymentKind::PuppyWalker) {
        deployment.services = 3;
        deployment.maxConcurrentWeightLoads = 16;
        deployment.weightLoadMs = 1140; // 16 concurrent loads give 14 loads/s, ten times the real 1.4 loads/s.
        deployment.maxConcurrentAdapterLoads = 130;
        deployment.serviceName = "roster";
    }
    for (int i = 0; i < 4; ++i)
        deployment.callers.push_back({ "office-" + std::to_string(i), "token-office-" + std::to_string(i),
            i == 0 ? "high" : "normal", shortWindowMs, false });
    for (int i = 0; i < 2; ++i)
        deployment.callers.push_back({ "letters-" + std::to_string(i), "token-letters-" + std::to_string(i),
            i == 0 ? "normal" : "low", longWindowMs, true });
    return deployment;
}

std::vector<std::string> Deployment::artifacts() const
{
    std::vector<std::string> names;
    for (int i = 0; i < models; ++i)
        names.push_back(modelName(i));
    for (int i = 0; i < adapters; ++i)
        names.push_back(adapterName(i));
    return names;
}

std::string Deployment::sheet() const
{
    std::ostringstream text;
    text << "kind,name,model,memory_mib,replicas,priority,window_ms,repeatable,rate_per_s,burst,token_hash,allowed\n";
    for (int i = 0; i < models; ++i)
        text << "model," << modelName(i) << ",," << modelMib << "," << std::min(replicaCount(i), engines)
             << ",normal,,,,,,\n";
    for (int i = 0; i < adapters; ++i)
        text << "adapter," << adapterName(i) << "," << modelName(i % models) << "," << adapterMib << ","
             << std::min(2, engines) << ",normal,,,,,,\n";
    text << "service," << serviceName << ",,,,high," << shortWindowMs << ",no,,,,\n";
    for (const auto& caller : callers)
        text << "caller," << caller.name << ",,,," << caller.priority << "," << caller.windowMs << ",,,,"
             << hashToken(caller.token) << ",\n";
    return text.str();
}

testing::FleetSettings Deployment::fleetSettings(PolicyKind policy) const
{
    testing::FleetSettings settings;
    settings.nodes = nodes;
    settings.engines = engines;
    settings.services = services;
    settings.slots = slots;
    settings.prefillMs = prefillMs;
    settings.tokenMs = tokenMs;
    settings.weightLoadMs = weightLoadMs;
    settings.maxConcurrentWeightLoads = maxConcurrentWeightLoads;
    settings.nodeSettings = { { "request.long_work_tokens", std::to_string(longWorkTokens) },
        { "platform.weight_loads_at_once", std::to_string(maxConcurrentWeightLoads) },
        { "platform.adapter_loads_at_once", std::to_string(maxConcurrentAdapterLoads) }, { "log.level", "Warning" },
        { "store.calls_per_second", "200" } };
    if (policy == PolicyKind::Baseline) {
        settings.nodeSettings["routing.policy"] = "RoundRobin";
        settings.nodeSettings["admission.policy"] = "AcceptAll";
    }
    for (const auto& [name, value] : nodeSettings)
        settings.nodeSettings[name] = value;
    return settings;
}

} // namespace cyclamenstair::load
