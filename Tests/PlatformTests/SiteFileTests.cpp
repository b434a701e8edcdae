#include <platform/SiteFile.h>

#include <filesystem>
#include <fstream>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <unistd.h>

using namespace cyclamenstair;

namespace {

using testing::ElementsAre;
using testing::HasSubstr;

const char* const siteText = R"(
name = "harbour"
lead_s = 4.0
length_s = 20
later = { unknown = true }
zones = [{ name = "pier-1", region = "coast" }, { name = "pier-2", region = "coast" }]
machines = [
  { class = "front", cpu_share = 0.5, memory_mb = 200, fds = 900, zone = "pier-1", count = 2, spare = 1 },
  { class = "front", cpu_share = 0.5, memory_mb = 200, fds = 900, zone = "pier-2", count = 1 },
]
services = [
  { name = "writer", servers = [{ zone = "pier-1", count = 2 }, { zone = "pier-2", count = 1 }], slots = 8, queue = 16, conn_cap = 40, llm = { batch = 8, step_ms = 9.5, step_ms_per_slot = 0.05, prefill_tokens_per_ms = 12.5, stride = 2, kv_tokens = 5000, mb = 1000.0, resident = 2, adapter_slots = 3 } },
  { name = "ledger", servers = [{ zone = "pier-1", count = 1 }], slots = 4, queue = 12, conn_cap = 30 },
]
classes = [
  { name = "letter", service = "writer", method = "POST", kind = "stream", aim_ms = 700, deadline_ms = 9000.0, timeout_ms = 8000, attempts = 2, priority = 1, retries = 1, req_bytes = { mean = 1200.4 }, stream = { pieces = { mean = 20.5 }, gap_aim_ms = 250, resume = true, prompt_tokens = { mean = 300.0 }, only = [0, 1], only_now = 1, model_skew = 0.3, adapter_share = 0.2 } },
  { name = "entry", service = "ledger", method = "POST", kind = "unsafe", aim_ms = 90, deadline_ms = 1200, work_ms = { mean = 12.5 }, req_bytes = { mean = 0.0 }, resp_bytes = { mean = 640.0 }, error_share = 0.01 },
  { name = "read", service = "ledger", method = "GET", kind = "safe", aim_ms = 90, deadline_ms = 1200, work_ms = { mean = 12.5 } },
]
traffic = [{ zone = "pier-1", mix = { letter = 3.5, entry = 1 }, per_s = 7.5, clients = 6, shape = { swing = 0.5, period_s = 11.0, phase = 0.25 } }]
models = [
  { name = "a", mb = 399.9999, load_s = 1.5, warm_s = 0.5, pace = 0.8, share = 0.75, adapters = 4, adapter_mb = 6.0, adapter_ms = 2.5 },
  { name = "b", mb = 300, load_s = 1.0, warm_s = 0.5, share = 0.25 },
]

[bounds]
grace_s = 6.0
budget_slack = 33.0

[weights]
per_s = 2.5
at_once = 3

[[day]]
name = "first"
seed = 77
closing = { kind = "power_off_all", down_s = 0.75, how = "all" }
plan = [
  { at = 9, kind = "release", share = 0.2, x = 1.0, gap_s = 0.5, service = "writer" },
  { at = 2.5, kind = "model_shift", count = 2 },
]
faults = [
  { at = 4.0, kind = "platform_down", how = "nodes silent  meet", for_s = 3.0 },
  { at = 2.5, kind = "burst", class = "letter", x = 1.5, zone = "pier-2" },
]
classes = [{ name = "letter", stream = { only = [1, 0] } }]
traffic = [{ zone = "pier-2", mix = { read = 1.0 }, per_s = 3.0, clients = 2 }]

[[day]]
name = "second"
)";

/// Reads a site file with this text.
Result<Site> readSite(const std::string& text)
{
    const auto path
        = std::filesystem::temp_directory_path() / ("site-file-test-" + std::to_string(::getpid()) + ".toml");
    std::ofstream(path) << text;
    auto site = readSiteFile(path.string());
    std::filesystem::remove(path);
    return site;
}

/// Returns the text with the first occurrence of a part replaced.
std::string changed(const std::string& part, const std::string& replacement)
{
    std::string text = siteText;
    const auto position = text.find(part);
    EXPECT_NE(position, std::string::npos) << part;
    return text.replace(position, part.size(), replacement);
}

} // namespace

// Guards against fields of a deployment that are lost, in another unit, or in the wrong member.
TEST(SiteFile, ReadsTheDeployment)
{
    const auto result = readSite(siteText);
    ASSERT_TRUE(result) << result.error().describe();
    const auto& site = result.value();
    EXPECT_EQ(site.name, "harbour");
    EXPECT_EQ(site.region, "coast");
    EXPECT_EQ(site.leadTime, std::chrono::seconds(4));
    EXPECT_EQ(site.length, std::chrono::seconds(20));
    EXPECT_THAT(site.failureDomains, ElementsAre("pier-1", "pier-2"));
    EXPECT_EQ(site.gracePeriod, std::chrono::seconds(6));
    EXPECT_EQ(site.retrySlack, 33);
    EXPECT_EQ(site.weightLoadsPerSecond, 2.5);
    EXPECT_EQ(site.weightLoadsAtOnce, 3U);
    ASSERT_EQ(site.vms.size(), 2U);
    EXPECT_EQ(site.vms[0].failureDomain, "pier-1");
    EXPECT_EQ(site.vms[0].count, 2U);
    EXPECT_EQ(site.vms[0].spareCount, 1U);
    EXPECT_EQ(site.vms[0].cpuShare, 0.5);
    EXPECT_EQ(site.vms[0].memoryMb, 200);
    EXPECT_EQ(site.vms[0].maxDescriptors, 900U);
    EXPECT_EQ(site.vms[1].spareCount, 0U);
    ASSERT_EQ(site.models.size(), 2U);
    EXPECT_EQ(site.models[0].weightsMb, 400);
    EXPECT_EQ(site.models[0].loadTime, milliseconds(1500));
    EXPECT_EQ(site.models[0].warmLoadTime, milliseconds(500));
    EXPECT_EQ(site.models[0].stepFactor, 0.8);
    EXPECT_EQ(site.models[0].demandShare, 0.75);
    EXPECT_EQ(site.models[0].adapterCount, 4U);
    EXPECT_EQ(site.models[0].adapterMb, 6);
    EXPECT_EQ(site.models[0].adapterLoadTime, Duration(2500));
    EXPECT_EQ(site.models[1].stepFactor, 1);
    EXPECT_EQ(site.models[1].adapterCount, 0U);
}

// Guards against fields of services that are lost, and services without an engine that get one.
TEST(SiteFile, ReadsServices)
{
    const auto result = readSite(siteText);
    ASSERT_TRUE(result) << result.error().describe();
    const auto& services = result.value().services;
    ASSERT_EQ(services.size(), 2U);
    EXPECT_EQ(services[0].name, "writer");
    EXPECT_EQ(services[0].targetCounts, (std::map<std::string, size_t> { { "pier-1", 2 }, { "pier-2", 1 } }));
    EXPECT_EQ(services[0].slots, 8U);
    EXPECT_EQ(services[0].maxQueued, 16U);
    EXPECT_EQ(services[0].maxConnections, 40U);
    ASSERT_TRUE(services[0].engine);
    const auto& engine = *services[0].engine;
    EXPECT_EQ(engine.batch, 8U);
    EXPECT_EQ(engine.stepTime, Duration(9500));
    EXPECT_EQ(engine.stepTimePerRequest, Duration(50));
    EXPECT_EQ(engine.promptTokensPerMs, 12.5);
    EXPECT_EQ(engine.tokensPerEvent, 2);
    EXPECT_EQ(engine.memoryTokens, 5000);
    EXPECT_EQ(engine.weightsMb, 1000);
    EXPECT_EQ(engine.residentModels, 2U);
    EXPECT_EQ(engine.adapterSlots, 3U);
    EXPECT_FALSE(services[1].engine);
}

// Guards against fields of requests that are lost, and kinds that may run twice although the file says once.
TEST(SiteFile, ReadsKindsOfRequests)
{
    const auto result = readSite(siteText);
    ASSERT_TRUE(result) << result.error().describe();
    const auto& kinds = result.value().requestKinds;
    ASSERT_EQ(kinds.size(), 3U);
    const auto& stream = kinds[0];
    EXPECT_EQ(stream.name, "letter");
    EXPECT_EQ(stream.service, "writer");
    EXPECT_EQ(stream.method, "POST");
    EXPECT_EQ(stream.retryPolicy, RetryPolicy::Stream);
    EXPECT_TRUE(stream.isResumable);
    EXPECT_EQ(stream.latencyObjective, milliseconds(700));
    EXPECT_EQ(stream.deadline, milliseconds(9000));
    EXPECT_EQ(stream.routeTimeout, milliseconds(8000));
    EXPECT_EQ(stream.maxAttempts, 2U);
    EXPECT_EQ(stream.priority, 1U);
    EXPECT_EQ(stream.callerRetries, 1);
    EXPECT_EQ(stream.requestBytes, 1200U);
    EXPECT_EQ(stream.events, 20.5);
    EXPECT_EQ(stream.promptTokens, 300);
    EXPECT_EQ(stream.eventGapObjective, milliseconds(250));
    EXPECT_EQ(stream.adapterShare, 0.2);
    EXPECT_THAT(stream.models, ElementsAre(0, 1));
    EXPECT_EQ(stream.modelsAtStart, 1U);
    EXPECT_EQ(stream.modelSkew, 0.3);
    const auto& once = kinds[1];
    EXPECT_EQ(once.retryPolicy, RetryPolicy::Once);
    EXPECT_EQ(once.maxAttempts, 1U);
    EXPECT_EQ(once.routeTimeout, once.deadline);
    EXPECT_EQ(once.workTime, Duration(12500));
    EXPECT_EQ(once.responseBytes, 640U);
    EXPECT_EQ(once.errorShare, 0.01);
    EXPECT_EQ(kinds[2].retryPolicy, RetryPolicy::Safe);
}

// Guards against entries of a day that are lost, out of order, or read in another unit.
TEST(SiteFile, ReadsTheEventsOfADayInTheOrderOfTheirTimes)
{
    const auto result = readSite(siteText);
    ASSERT_TRUE(result) << result.error().describe();
    const auto& day = result.value().days.at(0);
    EXPECT_EQ(day.name, "first");
    EXPECT_EQ(day.seed, 77U);
    ASSERT_EQ(day.events.size(), 4U);
    EXPECT_EQ(day.events[0].kind, SiteEventKind::DemandShift);
    EXPECT_EQ(day.events[0].at, milliseconds(2500));
    EXPECT_EQ(day.events[0].duration, std::chrono::seconds(5));
    EXPECT_EQ(day.events[0].gap, std::chrono::seconds(1));
    EXPECT_EQ(day.events[0].count, 2U);
    EXPECT_FALSE(day.events[0].share);
    EXPECT_EQ(day.events[1].kind, SiteEventKind::Burst);
    EXPECT_EQ(day.events[1].requestKind, "letter");
    EXPECT_EQ(day.events[1].factor, 1.5);
    EXPECT_EQ(day.events[1].failureDomain, "pier-2");
    EXPECT_THAT(day.events[1].variants, ElementsAre());
    EXPECT_EQ(day.events[2].kind, SiteEventKind::StoreDown);
    EXPECT_THAT(day.events[2].variants, ElementsAre("nodes", "silent", "meet"));
    EXPECT_EQ(day.events[2].duration, std::chrono::seconds(3));
    EXPECT_EQ(day.events[3].kind, SiteEventKind::Release);
    EXPECT_EQ(day.events[3].share, 0.2);
    EXPECT_EQ(day.events[3].gap, milliseconds(500));
    EXPECT_EQ(day.events[3].service, "writer");
    ASSERT_TRUE(day.closingFault);
    EXPECT_TRUE(day.closingFault->isPowerLoss);
    EXPECT_EQ(day.closingFault->downTime, milliseconds(750));
    EXPECT_THAT(day.closingFault->variants, ElementsAre("all"));
}

// Guards against days that are played with the deployment's traffic or models instead of their own, or with none.
TEST(SiteFile, DaysOverrideTheDeployment)
{
    const auto result = readSite(siteText);
    ASSERT_TRUE(result) << result.error().describe();
    const auto& days = result.value().days;
    ASSERT_EQ(days.size(), 2U);
    ASSERT_EQ(days[0].traffic.size(), 1U);
    EXPECT_EQ(days[0].traffic[0].failureDomain, "pier-2");
    EXPECT_EQ(days[0].traffic[0].period, Duration::zero());
    EXPECT_THAT(days[0].requestKinds.at(0).models, ElementsAre(1, 0));
    EXPECT_EQ(days[0].requestKinds.at(0).events, 20.5);
    EXPECT_EQ(days[0].requestKinds.size(), 3U);
    const auto& second = days[1];
    EXPECT_EQ(second.seed, 1U);
    EXPECT_FALSE(second.closingFault);
    EXPECT_THAT(second.requestKinds.at(0).models, ElementsAre(0, 1));
    ASSERT_EQ(second.traffic.size(), 1U);
    EXPECT_EQ(second.traffic[0].requestsPerSecond, 7.5);
    EXPECT_EQ(second.traffic[0].callers, 6U);
    EXPECT_EQ(second.traffic[0].weights, (std::map<std::string, double> { { "letter", 3.5 }, { "entry", 1 } }));
    EXPECT_EQ(second.traffic[0].swing, 0.5);
    EXPECT_EQ(second.traffic[0].period, std::chrono::seconds(11));
    EXPECT_EQ(second.traffic[0].phase, 0.25);
}

// Guards against a site file with a slip that is played as another deployment: the error names the key.
TEST(SiteFile, ErrorsNameTheKey)
{
    const auto messageOf = [](const std::string& text) {
        const auto result = readSite(text);
        return result ? std::string() : result.error().message;
    };
    EXPECT_THAT(messageOf(changed("lead_s = 4.0\n", "")), HasSubstr("the key lead_s is missing"));
    EXPECT_THAT(messageOf(changed("fds = 900, zone = \"pier-2\"", "zone = \"pier-2\"")),
        HasSubstr("the key machines[1].fds is missing"));
    EXPECT_THAT(messageOf(changed("stride = 2", "stride = 2.5")),
        HasSubstr("the key services[0].llm.stride is not an integer in range"));
    EXPECT_THAT(messageOf(changed("slots = 8", "slots = -8")), HasSubstr("services[0].slots"));
    EXPECT_THAT(messageOf(changed("grace_s = 6.0", "grace_s = \"6\"")), HasSubstr("bounds.grace_s is not a number"));
    EXPECT_THAT(messageOf(changed("\"model_shift\"", "\"model_drift\"")),
        HasSubstr("day[0].plan[1].kind names an unknown kind 'model_drift'"));
    EXPECT_THAT(messageOf(changed("\"unsafe\"", "\"twice\"")), HasSubstr("classes[1].kind"));
    EXPECT_THAT(messageOf(changed("only = [1, 0]", "only = [1, 2]")), HasSubstr("'letter' names an unknown model"));
    EXPECT_THAT(messageOf(changed("classes = [{ name = \"letter\"", "classes = [{ name = \"note\"")),
        HasSubstr("day[0].classes[0].name"));
    EXPECT_THAT(messageOf(changed("power_off_all", "off")), HasSubstr("day[0].closing.kind"));
    EXPECT_THAT(messageOf(changed("[weights]", "[weights")), HasSubstr("line"));
    EXPECT_FALSE(readSiteFile("/nonexistent/site.toml"));
}
