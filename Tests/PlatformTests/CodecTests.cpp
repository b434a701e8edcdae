#include <platform/CatalogCodec.h>
#include <platform/RequestCodec.h>
#include <platform/StoreCodec.h>
#include <platform/TargetCodec.h>

#include <Cyclamenstair/Core/Base64.h>

#include <gtest/gtest.h>

using namespace cyclamenstair;

namespace {

const char* const catalogText = R"({"version":7,
  "routes":[{"name":"r","host":"a.example","path_prefix":"/x/","kind":"streaming","timeout_ms":20000,
             "target_latency_ms":600,"priority":1,"split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
             "max_attempts":2,"resumable":true,"gap_target_ms":300},
            {"name":"q","host":"a.example","path_prefix":"/y/","kind":"safe","timeout_ms":1000,"service":"s2"}],
  "services":[{"name":"s1","max_conns":370,"engine":{"slots":64,"kv_capacity":1000,"weights_mb":230.5,"adapter_slots":8,
               "loads_per_s":1.5,"models":[{"name":"m","weights_mb":70.5,"load_s":2.2,"adapters":3,"adapter_mb":12}]}},
              {"name":"s2","max_conns":110}],
  "limits":{"max_header_bytes":1000,"max_body_bytes":2000,"header_timeout_ms":3000,"idle_timeout_ms":15000},
  "later":{"unknown":true}})";

HttpRequest callerRequest()
{
    return { "POST", "/x/1?q=2",
        { { "Host", "a.example" }, { "cyclamenstair-request-id", "r-1" }, { "Cyclamenstair-Model", "m/a2" },
            { "Cyclamenstair-Token-Count", "1460,80" }, { "Cyclamenstair-Deadline-Ms", "1500" },
            { "Cyclamenstair-Hold", "h" }, { "kv-from", "k" }, { "Last-Event-Id", "3" }, { "X-Other", "kept" } },
        "body", true };
}

} // namespace

TEST(CatalogCodec, DecodesRoutesServicesAndLimits)
{
    const auto catalog = decodeCatalog(catalogText).value();
    EXPECT_EQ(catalog.version, 7);
    ASSERT_EQ(catalog.routes.size(), 2U);
    EXPECT_EQ(catalog.routes[0].retryPolicy, RetryPolicy::Stream);
    EXPECT_TRUE(catalog.routes[0].isRetryable());
    EXPECT_EQ(catalog.routes[0].shares.size(), 2U);
    EXPECT_EQ(catalog.routes[0].maxEventGap, milliseconds(300));
    EXPECT_EQ(catalog.routes[1].retryPolicy, RetryPolicy::Safe);
    EXPECT_EQ(catalog.routes[1].shares.at(0).service, "s2");
    ASSERT_TRUE(catalog.services.at("s1").engine);
    EXPECT_EQ(catalog.services.at("s1").engine->model("m")->loadTime, milliseconds(2200));
    EXPECT_FALSE(catalog.services.at("s2").engine);
    EXPECT_EQ(catalog.limits.maxBodyBytes, 2000U);
}

TEST(CatalogCodec, MalformedCatalogIsAnError)
{
    for (const char* text : { "", "[]", "{}", R"({"version":"x","routes":[],"services":[]})",
             R"({"version":1,"routes":[{"host":"a"}],"services":[]})" })
        EXPECT_FALSE(decodeCatalog(text)) << text;
}

// Anyone may write a target's entry; one that cannot be read names no target.
TEST(TargetCodec, RejectsForeignEntries)
{
    const std::string good = R"({"service":"s","address":"1.2.3.4:5","zone":"z","slots":6,"state":"draining","born":17,
        "models":[{"name":"m","version":1,"adapters":["a1"]}],"seq":4})";
    const auto record = decodeTarget("i-1", good).value();
    EXPECT_EQ(record.phase, TargetPhase::Draining);
    EXPECT_TRUE(record.hasLoaded("m", "a1"));
    EXPECT_FALSE(record.hasLoaded("m", "a2"));
    EXPECT_EQ(record.startedUnixMs, 17);
    for (const char* text : { "\xff", "7", R"({"service":"s"})",
             R"({"service":"s","address":"a:1","zone":"z","slots":"6","state":"ready"})",
             R"({"service":"s","address":"a:1","zone":"z","slots":6,"state":"asleep"})" })
        EXPECT_FALSE(decodeTarget("i-1", text)) << text;
}

TEST(TargetCodec, OrderNamesItsRight)
{
    const auto call = encodeOrderCall(
        "1.2.3.4:5", { "i-1", OrderKind::Load, "m", "a1", MoveReason::Demand, 0, 0, {} }, { "node-1", 41, 2 });
    EXPECT_EQ(fieldValue(call.fields, "cyclamenstair-expect-instance"), "i-1");
    EXPECT_EQ(
        call.body, R"({"adapter":"a1","expected":2,"fence":41,"holder":"node-1","model":"m","operation":"load"})");
    EXPECT_EQ(decodeOrderAnswer(202), OrderAnswer::Accepted);
    EXPECT_EQ(decodeOrderAnswer(412), OrderAnswer::StaleFencingToken);
    EXPECT_EQ(decodeOrderAnswer(421), OrderAnswer::Refused);
    // An engine that fails may have begun; only its own refusal says that nothing was done.
    EXPECT_EQ(decodeOrderAnswer(500), OrderAnswer::Unclear);
}

TEST(TargetCodec, DecodesReport)
{
    const auto report = decodeReport(R"({"models":[],"busy":true,"seq":5,"queued":1,"running":12,"incoming":["m/a1@1"],
        "at_hand":{"in_memory":["m"],"on_disk":["n"]},"born":3})")
                            .value();
    EXPECT_TRUE(report.isBusy);
    EXPECT_EQ(report.acceptedOrders, 5);
    EXPECT_EQ(report.loadingAdapters, 1U);
    EXPECT_EQ(report.cachedModels, (std::set<std::string> { "m", "n" }));
    EXPECT_FALSE(decodeReport("{}"));
}

TEST(RequestCodec, DecodesWhatTheCallerSays)
{
    const auto decoded = decodeRequest(callerRequest());
    EXPECT_EQ(decoded.id, "r-1");
    EXPECT_EQ(decoded.path, "/x/1");
    EXPECT_EQ(decoded.model, "m");
    EXPECT_EQ(decoded.adapter, "a2");
    EXPECT_EQ(decoded.promptTokens, 1460U);
    EXPECT_EQ(decoded.patience, milliseconds(1500));
}

// Fields that only the system may set must not reach a target from a caller; all others must, unchanged.
TEST(RequestCodec, AttemptCarriesTheSystemsFieldsOnly)
{
    const StartAttempt attempt { 1, { "i-7", "1.2.3.4:5", "s" }, milliseconds(900), std::nullopt, 1 };
    const auto encoded = encodeAttempt(callerRequest(), attempt, true);
    EXPECT_EQ(encoded.target, "/x/1?q=2");
    EXPECT_EQ(encoded.body, "body");
    EXPECT_FALSE(fieldValue(encoded.fields, "Cyclamenstair-Hold"));
    EXPECT_FALSE(fieldValue(encoded.fields, "Kv-From"));
    EXPECT_EQ(fieldValue(encoded.fields, "Cyclamenstair-Deadline-Ms"), "900");
    EXPECT_EQ(fieldValue(encoded.fields, "Cyclamenstair-Expect-Instance"), "i-7");
    EXPECT_EQ(fieldValue(encoded.fields, "Last-Event-Id"), "3");
    EXPECT_EQ(fieldValue(encoded.fields, "X-Other"), "kept");
}

TEST(RequestCodec, ResumedAttemptNamesTheLastEvent)
{
    const StartAttempt attempt { 2, { "i-7", "1.2.3.4:5", "s" }, milliseconds(900), "9", 1 };
    const auto encoded = encodeAttempt(callerRequest(), attempt, true);
    EXPECT_EQ(fieldValue(encoded.fields, "Last-Event-Id"), "9");
    EXPECT_EQ(std::count_if(encoded.fields.begin(), encoded.fields.end(),
                  [](const auto& field) { return field.first == "Last-Event-Id"; }),
        1);
}

TEST(RequestCodec, ReadsWhetherARequestRan)
{
    const auto decode = [](uint32_t status, HeaderFields fields) {
        return decodeAnswerHead({ status, {}, std::move(fields) }, "r-1");
    };
    EXPECT_TRUE(decode(503, { { "Cyclamenstair-Not-Run", "1" } }).isNotRun);
    EXPECT_FALSE(decode(503, { { "Cyclamenstair-Request-Id", "r-1" } }).isNotRun);
    EXPECT_TRUE(decode(421, {}).isMisdirected);
    EXPECT_FALSE(decode(200, { { "Cyclamenstair-Request-Id", "r-2" }, { "Cyclamenstair-Response-Stamp", "s" } })
                     .matchesRequestId);
    EXPECT_FALSE(decode(200, { { "Cyclamenstair-Response-Stamp", "s" } }).matchesRequestId);
    EXPECT_TRUE(decode(200, { { "Cyclamenstair-Request-Id", "r-1" }, { "Cyclamenstair-Response-Stamp", "s" } })
                    .matchesRequestId);
}

TEST(RequestCodec, OnlyRefusalsPromiseThatNothingRan)
{
    EXPECT_EQ(encodeOwnAnswer({ LocalResponseKind::NotRun, "", milliseconds(300) }, "r").status, 503U);
    EXPECT_EQ(
        fieldValue(encodeOwnAnswer({ LocalResponseKind::NotRun, "", milliseconds(300) }, "r").fields, "Retry-After"),
        "0.300");
    EXPECT_EQ(encodeOwnAnswer({ LocalResponseKind::Failed, "", std::nullopt }, "r").status, 502U);
    EXPECT_EQ(encodeOwnAnswer({ LocalResponseKind::TimedOut, "", std::nullopt }, "r").status, 504U);
    // A node that knows no catalog cannot say that a route does not exist.
    EXPECT_EQ(encodeNoRoute(false, "r").status, 503U);
    EXPECT_EQ(encodeNoRoute(true, "r").status, 404U);
}

TEST(StoreCodec, DecodesChangesAndLostHistory)
{
    const HttpAnswer answer {
        { 200, {}, {} },
        R"({"events":[{"key":"a/1","value":")" + encodeBase64("x\n")
            + R"(","revision":12,"created_rev":9,"lease":3},{"key":"a/2","revision":13,"deleted":true}],"store_revision":13})"
    };
    const auto changes = std::get<StoreChanges>(decodeWatch(answer));
    EXPECT_EQ(changes.revision, 13);
    ASSERT_EQ(changes.changes.size(), 2U);
    EXPECT_EQ(changes.changes[0].record.value, "x\n");
    EXPECT_TRUE(changes.changes[1].isDeleted);
    EXPECT_TRUE(std::holds_alternative<StoreHistoryLost>(decodeWatch({ { 410, {}, {} }, "" })));
    EXPECT_TRUE(std::holds_alternative<StoreUnavailable>(decodeWatch({ { 429, {}, {} }, "" })));
    EXPECT_TRUE(std::holds_alternative<StoreUnavailable>(decodeWatch({ { 200, {}, {} }, "{}" })));
}

TEST(StoreCodec, TransactionOutcomesAreToldApart)
{
    EXPECT_EQ(std::get<StoreApplied>(decodeTransaction({ { 200, {}, {} }, R"({"revision":412})" })).revision, 412);
    EXPECT_TRUE(std::holds_alternative<StoreUnknown>(decodeTransaction({ { 200, {}, {} }, "garbled" })));
    EXPECT_EQ(std::get<StoreNotApplied>(decodeTransaction({ { 412, {}, {} }, "{}" })).refusal, StoreRefusal::Conflict);
    EXPECT_EQ(std::get<StoreNotApplied>(decodeTransaction({ { 503, {}, {} }, "" })).refusal, StoreRefusal::Rejected);
    EXPECT_EQ(decodeLeaseGrant({ { 200, {}, {} }, R"({"lease":7,"ttl_ms":3000})" }), 7);
    EXPECT_FALSE(decodeLeaseGrant({ { 429, {}, {} }, "" }));
    EXPECT_EQ(decodeLeaseKeepAlive({ { 404, {}, {} }, "" }), StoreLeaseOutcome::Expired);
}
