#include <Benchmarks/Perf/PerfSamples.h>

#include <Cyclamenstair/Core/Crypto.h>
#include <Cyclamenstair/Core/Time.h>

#include <fstream>
#include <malloc.h>
#include <unistd.h>

namespace cyclamenstair::perf {

namespace {

    constexpr uint64_t mib = 1 << 20;
    // Start time in microseconds since the Unix epoch, as in GossipLoop.
    constexpr uint64_t sampleEpoch = 1780000000000000;

    std::string makeAddress(int index)
    {
        return "10." + std::to_string(index / 65536) + "." + std::to_string(index / 256 % 256) + "."
            + std::to_string(index % 256) + ":8082";
    }

} // namespace

MemberInfo sampleMember(int index)
{
    const auto node = "node-" + std::to_string(index);
    return { node, node + "/0123456789abcdef0123456789abcdef", makeAddress(index), makeAddress(index), "region-1",
        "domain-" + std::to_string(index % 4), false };
}

TargetStatus sampleTarget(int index)
{
    TargetStatus status;
    status.target = "engine-" + std::to_string(index);
    status.address = makeAddress(index);
    status.pool = "drafting-" + std::to_string(index / 64);
    status.failureDomain = "domain-" + std::to_string(index % 4);
    status.instance = "0123456789abcdef0123456789abcdef";
    status.memoryBytes = 16384 * mib;
    for (int artifact = 0; artifact < artifactsPerTarget; ++artifact)
        status.artifacts.push_back("model-" + std::to_string((index * artifactsPerTarget + artifact) % 1500));
    return status;
}

void fillGossipTable(GossipTable& table, int entries)
{
    const auto now = monotonicNow();
    for (int i = 0; i < entries; ++i) {
        if (i % 6 == 0)
            table.publish("member/node-" + std::to_string(i), sampleEpoch, encodeMember(sampleMember(i)), now);
        else
            table.publish("target/engine-" + std::to_string(i), 7, encodeTargetStatus(sampleTarget(i)), now);
    }
}

Plan samplePlan(int models)
{
    Plan plan;
    plan.revision = 1;
    const auto hash = hashToken("token");
    for (int i = 0; i < models; ++i) {
        const auto model = "model-" + std::to_string(i);
        plan.models.push_back({ model, 2048 * mib, 2, Priority::Normal, milliseconds(1000) });
        for (int adapter = 0; adapter < 2; ++adapter)
            plan.adapters.push_back({ "adapter-" + std::to_string(i) + "-" + std::to_string(adapter), model, 64 * mib,
                2, Priority::Normal, milliseconds(1000) });
        if (i % 10 == 0)
            plan.callers.push_back(
                { "caller-" + std::to_string(i), hash, Priority::Normal, milliseconds(1000), 100, 200, { model } });
    }
    plan.services.push_back({ "bookings", Priority::High, milliseconds(1000), false });
    plan.sortRows();
    return plan;
}

TargetLedger sampleLedger(int entries)
{
    std::vector<ResidencyEntry> rows;
    for (int i = 0; i < entries; ++i) {
        ResidencyEntry entry;
        entry.artifact = "artifact-" + std::to_string(i);
        entry.memoryBytes = 64 * mib;
        entry.state = ResidencyState::Resident;
        rows.push_back(std::move(entry));
    }
    return TargetLedger::create(
        "engine-1", "node-1/0123456789abcdef0123456789abcdef", 7, "0123456789abcdef0123456789abcdef", std::move(rows))
        .value();
}

double residentBytes()
{
    ::malloc_trim(0);
    std::ifstream file("/proc/self/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(::sysconf(_SC_PAGESIZE));
}

} // namespace cyclamenstair::perf
