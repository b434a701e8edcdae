#include <Cyclamenstair/Http/Endpoint.h>
#include <Cyclamenstair/Http/HttpExchange.h>
#include <StandIns/SimulatedTarget.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <future>
#include <thread>

namespace cyclamenstair {
namespace {

    using Json = nlohmann::json;

    constexpr size_t meanBytes = 800;

    SimulatedTargetSettings serviceSettings(Duration workTime = milliseconds(5))
    {
        return { .id = "i-1",
            .service = "plain",
            .failureDomain = "domain-1",
            .workload = ServiceWorkload { .meanWorkTime = workTime, .meanResponseBytes = meanBytes } };
    }

    SimulatedTargetSettings engineSettings()
    {
        EngineWorkload engine;
        engine.memoryTokens = 1000;
        engine.weightsMb = 100;
        engine.adapterSlots = 2;
        engine.stepTime = milliseconds(2);
        engine.stepTimePerRequest = milliseconds(1);
        engine.promptTokensPerMs = 10;
        engine.tokensPerEvent = 4;
        engine.loadedModels = { "small" };
        for (const auto* name : { "small", "other", "third" })
            engine.models.push_back({ name, 40, milliseconds(20), milliseconds(2), 1.0, 3, milliseconds(10) });
        return { .id = "e-1", .service = "engines", .failureDomain = "domain-1", .workload = engine };
    }

    std::unique_ptr<SimulatedTarget> start(const SimulatedTargetSettings& settings)
    {
        return SimulatedTarget::create(settings).value();
    }

    HttpRequest workRequest(const std::string& id, const HeaderFields& fields = {})
    {
        HttpRequest request { "POST", "/work", { { "Cyclamenstair-Request-Id", id } }, "body", true };
        request.fields.insert(request.fields.end(), fields.begin(), fields.end());
        return request;
    }

    HttpRequest streamRequest(const std::string& id, const std::string& model, const std::string& tokens)
    {
        return workRequest(id, { { "Cyclamenstair-Model", model }, { "Cyclamenstair-Token-Count", tokens } });
    }

    HttpRequest orderRequest(const std::string& operation, const std::string& model, int64_t fence,
        std::optional<int64_t> expected = std::nullopt, const std::string& adapter = "")
    {
        Json body { { "operation", operation }, { "model", model }, { "holder", "node-1" }, { "fence", fence } };
        if (expected)
            body["expected"] = *expected;
        if (!adapter.empty())
            body["adapter"] = adapter;
        return { "POST", "/cyclamenstair/order", {}, body.dump(), true };
    }

    HttpOutcome call(const SimulatedTarget& target, const HttpRequest& request)
    {
        return HttpExchange(target.address(), { .idleTimeout = std::chrono::seconds(10) }).call(request);
    }

    /// Returns the status of the response, or 0 if the call failed.
    uint32_t status(const HttpOutcome& outcome)
    {
        const auto* response = std::get_if<HttpResponse>(&outcome);
        return response ? response->head.status : 0;
    }

    std::string body(const HttpOutcome& outcome)
    {
        const auto* response = std::get_if<HttpResponse>(&outcome);
        return response ? response->body : std::string();
    }

    bool isNotRun(const HttpOutcome& outcome)
    {
        const auto* response = std::get_if<HttpResponse>(&outcome);
        return response && fieldValue(response->head.fields, "Cyclamenstair-Not-Run").has_value();
    }

    /// What a target sent on a connection until it ended.
    struct Received {
        std::string bytes;
        bool isReset { false };
    };

    Received receiveAll(const SimulatedTarget& target, const HttpRequest& request)
    {
        boost::asio::io_context context;
        boost::asio::ip::tcp::socket socket(context);
        socket.connect(parseEndpoint(target.address()).value());
        auto closing = request;
        closing.fields.emplace_back("Connection", "close");
        boost::asio::write(socket, boost::asio::buffer(encodeRequest(closing)));
        Received received;
        boost::system::error_code ec;
        boost::asio::read(socket, boost::asio::dynamic_buffer(received.bytes), ec);
        received.isReset = ec == boost::asio::error::connection_reset;
        return received;
    }

    std::string events(int first, int last)
    {
        std::string text;
        for (int event = first; event <= last; ++event)
            text += "id: " + std::to_string(event) + "\ndata: token\n\n";
        return text;
    }

    Json report(const SimulatedTarget& target)
    {
        return Json::parse(body(call(target, { "GET", "/cyclamenstair/report", {}, {}, false })));
    }

    bool eventually(const std::function<bool()>& condition)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!condition()) {
            if (std::chrono::steady_clock::now() > end)
                return false;
            std::this_thread::sleep_for(milliseconds(2));
        }
        return true;
    }

    bool isIdle(const SimulatedTarget& target)
    {
        const auto state = report(target);
        return state["running"] == 0 && state["queued"] == 0 && state["busy"] == false;
    }

    // Guards against answers that do not prove whose they are, and against requests to another instance that run.
    TEST(SimulatedTarget, AnswersWithReceiptAndVerifiableBody)
    {
        const auto target = start(serviceSettings());
        const auto outcome = call(*target, workRequest("r1"));
        ASSERT_EQ(status(outcome), 200U);
        EXPECT_EQ(body(outcome), simulatedResponseBody("i-1", "r1", meanBytes));
        const auto& fields = std::get<HttpResponse>(outcome).head.fields;
        EXPECT_EQ(fieldValue(fields, "Cyclamenstair-Request-Id"), "r1");
        EXPECT_TRUE(fieldValue(fields, "Cyclamenstair-Response-Stamp"));
        const auto misdirected = call(*target, workRequest("r2", { { "Cyclamenstair-Expect-Instance", "i-2" } }));
        EXPECT_EQ(status(misdirected), 421U);
        EXPECT_TRUE(isNotRun(misdirected));
        EXPECT_EQ(target->runs(), (std::map<std::string, int> { { "r1", 1 } }));
    }

    // Guards against a target that takes any number of requests, and against a statement "not run" that is wrong.
    TEST(SimulatedTarget, RejectsWhatExceedsSlotsAndQueue)
    {
        auto settings = serviceSettings(std::chrono::seconds(30));
        settings.slots = 2;
        settings.maxQueued = 3;
        const auto target = start(settings);
        std::vector<std::future<HttpOutcome>> calls;
        for (int i = 0; i < 5; ++i)
            calls.push_back(
                std::async(std::launch::async, [&, i] { return call(*target, workRequest("r" + std::to_string(i))); }));
        ASSERT_TRUE(eventually([&] { return report(*target)["running"] == 2 && report(*target)["queued"] == 3; }));
        const auto rejected = call(*target, workRequest("excess"));
        EXPECT_EQ(status(rejected), 503U);
        EXPECT_TRUE(isNotRun(rejected));
        EXPECT_EQ(target->runs().size(), 2U);
        EXPECT_FALSE(target->runs().contains("excess"));
        target->crash();
    }

    // Guards against work beyond the deadline, and against a request that expired in the queue counted as run.
    TEST(SimulatedTarget, DeadlineEndsWaitingAndRunningRequests)
    {
        auto settings = serviceSettings(std::chrono::seconds(30));
        settings.slots = 1;
        const auto target = start(settings);
        auto running = std::async(std::launch::async, [&] {
            return call(*target, workRequest("running", { { "Cyclamenstair-Deadline-Ms", "1500" } }));
        });
        ASSERT_TRUE(eventually([&] { return target->runs().contains("running"); }));
        const auto waiting = call(*target, workRequest("waiting", { { "Cyclamenstair-Deadline-Ms", "20" } }));
        EXPECT_EQ(status(waiting), 503U);
        EXPECT_TRUE(isNotRun(waiting));
        const auto expired = running.get();
        EXPECT_EQ(status(expired), 504U);
        EXPECT_FALSE(isNotRun(expired));
        EXPECT_EQ(target->runs(), (std::map<std::string, int> { { "running", 1 } }));
    }

    // Guards against slots that stay taken by callers that have gone.
    TEST(SimulatedTarget, DisconnectFreesTheSlot)
    {
        auto settings = serviceSettings(std::chrono::seconds(30));
        settings.slots = 1;
        const auto target = start(settings);
        HttpExchange exchange(target->address(), { .idleTimeout = std::chrono::seconds(10) });
        auto abandoned = std::async(std::launch::async, [&] { return exchange.call(workRequest("abandoned")); });
        ASSERT_TRUE(eventually([&] { return report(*target)["running"] == 1; }));
        exchange.cancel();
        abandoned.get();
        EXPECT_TRUE(eventually([&] { return isIdle(*target); }));
    }

    // Guards against wrong numbers of events, and against a resumed stream with events twice or missing.
    TEST(SimulatedTarget, StreamsEventsByTokenCountAndResumes)
    {
        const auto target = start(engineSettings());
        EXPECT_EQ(body(call(*target, streamRequest("s1", "small", "50,18"))), events(1, 5));
        auto resumed = streamRequest("s2", "small", "50,18");
        resumed.fields.emplace_back("Last-Event-Id", "3");
        EXPECT_EQ(body(call(*target, resumed)), events(4, 5));
        EXPECT_EQ(status(call(*target, streamRequest("s3", "other", "50,18"))), 421U);
        EXPECT_EQ(status(call(*target, streamRequest("s4", "small/a1", "50,18"))), 421U);
        EXPECT_EQ(status(call(*target, streamRequest("s5", "small", "500,501"))), 503U);
        EXPECT_EQ(target->runs(), (std::map<std::string, int> { { "s1", 1 }, { "s2", 1 } }));
    }

    // Guards against requests that run together although the engine's memory does not hold them.
    TEST(SimulatedTarget, RequestsWaitForMemory)
    {
        auto settings = engineSettings();
        std::get<EngineWorkload>(settings.workload).stepTime = milliseconds(50);
        std::get<EngineWorkload>(settings.workload).tokensPerEvent = 40;
        const auto target = start(settings);
        auto first
            = std::async(std::launch::async, [&] { return call(*target, streamRequest("s1", "small", "10,800")); });
        ASSERT_TRUE(eventually([&] { return target->runs().contains("s1"); }));
        auto second
            = std::async(std::launch::async, [&] { return call(*target, streamRequest("s2", "small", "10,400")); });
        ASSERT_TRUE(eventually([&] { return report(*target)["queued"] == 1; }));
        EXPECT_EQ(report(*target)["running"], 1);
        EXPECT_EQ(body(first.get()), events(1, 20));
        EXPECT_EQ(body(second.get()), events(1, 10));
    }

    // Guards against orders of a former holder, repeated orders, and orders beside another one that are carried out.
    TEST(SimulatedTarget, OrdersAreFencedAndCountedOnce)
    {
        auto settings = engineSettings();
        std::get<EngineWorkload>(settings.workload).models[1].loadTime = std::chrono::seconds(30);
        const auto target = start(settings);
        EXPECT_EQ(status(call(*target, orderRequest("load", "small", 5, 0))), 200U);
        EXPECT_EQ(status(call(*target, orderRequest("load", "other", 4, 0))), 412U);
        EXPECT_EQ(status(call(*target, orderRequest("load", "other", 5, 1))), 409U);
        EXPECT_EQ(status(call(*target, orderRequest("load", "unknown", 5, 0))), 400U);
        EXPECT_EQ(status(call(*target, orderRequest("load", "other", 5, 0))), 202U);
        EXPECT_EQ(status(call(*target, orderRequest("unload", "small", 6, 1))), 409U);
        EXPECT_EQ(status(call(*target, streamRequest("s1", "other", "1,4"))), 503U);
        const auto state = report(*target);
        EXPECT_EQ(state["busy"], true);
        EXPECT_EQ(state["seq"], 1);
        ASSERT_EQ(target->orders().size(), 1U);
        EXPECT_EQ(target->orders().front().fencingToken, 5);
    }

    // Guards against an unload that breaks off streams, and against waiting requests that run without their model.
    TEST(SimulatedTarget, UnloadWaitsForRunningRequests)
    {
        auto settings = engineSettings();
        settings.slots = 1;
        std::get<EngineWorkload>(settings.workload).stepTime = milliseconds(10);
        const auto target = start(settings);
        auto running
            = std::async(std::launch::async, [&] { return call(*target, streamRequest("s1", "small", "10,400")); });
        ASSERT_TRUE(eventually([&] { return target->runs().contains("s1"); }));
        auto waiting
            = std::async(std::launch::async, [&] { return call(*target, streamRequest("s2", "small", "10,400")); });
        ASSERT_TRUE(eventually([&] { return report(*target)["queued"] == 1; }));
        EXPECT_EQ(status(call(*target, orderRequest("unload", "small", 1))), 202U);
        const auto rejected = waiting.get();
        EXPECT_EQ(status(rejected), 503U);
        EXPECT_TRUE(isNotRun(rejected));
        EXPECT_EQ(body(running.get()), events(1, 100));
        EXPECT_TRUE(eventually([&] { return isIdle(*target) && report(*target)["models"].empty(); }));
        EXPECT_EQ(status(call(*target, streamRequest("s3", "small", "10,4"))), 421U);
    }

    // Guards against adapters that are served before they are loaded, or that exceed the places unnoticed.
    TEST(SimulatedTarget, AdaptersLoadIntoPlaces)
    {
        auto settings = engineSettings();
        std::get<EngineWorkload>(settings.workload).models[0].adapterLoadTime = milliseconds(200);
        const auto target = start(settings);
        EXPECT_EQ(status(call(*target, orderRequest("load", "small", 1, 0, "a1"))), 202U);
        EXPECT_EQ(report(*target)["incoming"], Json::array({ "small/a1@1" }));
        EXPECT_EQ(report(*target)["busy"], false);
        EXPECT_EQ(status(call(*target, streamRequest("s1", "small/a1", "10,4"))), 503U);
        ASSERT_TRUE(eventually([&] { return report(*target)["incoming"].empty(); }));
        EXPECT_EQ(body(call(*target, streamRequest("s2", "small/a1", "10,4"))), events(1, 1));
        EXPECT_EQ(status(call(*target, orderRequest("unload", "small", 1, 1, "a1"))), 200U);
        EXPECT_EQ(status(call(*target, streamRequest("s3", "small/a1", "10,4"))), 421U);
        EXPECT_EQ(status(call(*target, orderRequest("load", "small", 1, 2, "a4"))), 400U);
        EXPECT_EQ(status(call(*target, orderRequest("load", "small", 1, 2, "a2"))), 202U);
        EXPECT_EQ(status(call(*target, orderRequest("load", "small", 1, 3, "a3"))), 202U);
        EXPECT_EQ(target->excessiveOrderCount(), 0U);
        EXPECT_EQ(status(call(*target, orderRequest("load", "small", 1, 4, "a1"))), 0U);
        EXPECT_EQ(target->excessiveOrderCount(), 1U);
    }

    // Guards against an order beyond the memory that goes unnoticed, and against a target that does not come back.
    TEST(SimulatedTarget, ExcessiveOrderCrashesTheTarget)
    {
        const auto target = start(engineSettings());
        EXPECT_EQ(status(call(*target, orderRequest("load", "other", 7, 0))), 202U);
        ASSERT_TRUE(eventually([&] { return isIdle(*target); }));
        const auto before = Json::parse(target->entry().value());
        EXPECT_EQ(before["models"].size(), 2U);
        EXPECT_EQ(status(call(*target, orderRequest("load", "third", 7, 1))), 0U);
        EXPECT_EQ(target->excessiveOrderCount(), 1U);
        EXPECT_FALSE(target->entry());
        ASSERT_TRUE(eventually([&] { return target->entry().has_value(); }));
        const auto after = Json::parse(target->entry().value());
        EXPECT_EQ(target->id(), "e-1");
        EXPECT_GT(after["born"], before["born"]);
        EXPECT_TRUE(after["models"].empty());
        EXPECT_EQ(status(call(*target, orderRequest("load", "small", 1, 0))), 202U);
    }

    // Guards against a crash that leaves requests hanging or connections accepted, and against a changed address.
    TEST(SimulatedTarget, CrashEndsRequestsAndRestartServesAtTheSameAddress)
    {
        const auto target = start(serviceSettings(std::chrono::seconds(30)));
        auto running = std::async(std::launch::async, [&] { return call(*target, workRequest("r1")); });
        ASSERT_TRUE(eventually([&] { return target->runs().contains("r1"); }));
        const auto address = target->address();
        target->crash();
        EXPECT_EQ(status(running.get()), 0U);
        EXPECT_EQ(status(call(*target, { "GET", "/health", {}, {}, false })), 0U);
        EXPECT_FALSE(target->entry());
        target->restart("i-2");
        EXPECT_EQ(target->address(), address);
        EXPECT_EQ(target->id(), "i-2");
        const auto health = call(*target, { "GET", "/health", {}, {}, false });
        ASSERT_EQ(status(health), 200U);
        EXPECT_EQ(fieldValue(std::get<HttpResponse>(health).head.fields, "Cyclamenstair-Instance-Id"), "i-2");
    }

    // Guards against failed requests that are not counted as run, or that do not say that they have run.
    TEST(SimulatedTarget, FailedRequestsHaveRun)
    {
        for (const auto& settings : { serviceSettings(), engineSettings() }) {
            const auto target = start(settings);
            const auto request = streamRequest("r1", "small", "10,40");
            target->setFault(TargetFaultKind::FailRequests, 1);
            const auto outcome = call(*target, request);
            EXPECT_EQ(status(outcome), 500U);
            EXPECT_FALSE(isNotRun(outcome));
            target->setFault(TargetFaultKind::FailRequests, 0);
            EXPECT_EQ(status(call(*target, request)), 200U);
            EXPECT_EQ(target->runs(), (std::map<std::string, int> { { "r1", 2 } }));
        }
    }

    // Guards against lost answers that keep a slot, or of which a part is sent.
    TEST(SimulatedTarget, LostAnswersHaveRunAndFreeTheSlot)
    {
        for (const auto& settings : { serviceSettings(), engineSettings() }) {
            const auto target = start(settings);
            target->setFault(TargetFaultKind::LoseAnswers, 1);
            auto lost = std::async(
                std::launch::async, [&] { return receiveAll(*target, streamRequest("r1", "small", "10,40")); });
            ASSERT_TRUE(eventually([&] { return target->runs().contains("r1") && isIdle(*target); }));
            EXPECT_EQ(lost.wait_for(std::chrono::seconds(0)), std::future_status::timeout);
            target->crash();
            EXPECT_EQ(lost.get().bytes, "");
        }
    }

    // Guards against responses that are cut off at a place where they look complete.
    TEST(SimulatedTarget, ResetAnswersEndWithinTheResponse)
    {
        const auto service = start(serviceSettings());
        service->setFault(TargetFaultKind::ResetAnswers, 1);
        const auto plain = receiveAll(*service, workRequest("r1"));
        EXPECT_TRUE(plain.isReset);
        EXPECT_TRUE(plain.bytes.starts_with("HTTP/1.1 200"));
        EXPECT_EQ(plain.bytes.find(simulatedResponseBody("i-1", "r1", meanBytes)), std::string::npos);
        const auto engine = start(engineSettings());
        engine->setFault(TargetFaultKind::ResetAnswers, 1);
        const auto stream = receiveAll(*engine, streamRequest("r1", "small", "10,40"));
        EXPECT_TRUE(stream.isReset);
        EXPECT_FALSE(stream.bytes.ends_with("0\r\n\r\n"));
        EXPECT_FALSE(stream.bytes.ends_with("\n\n\r\n"));
        EXPECT_TRUE(eventually([&] { return isIdle(*engine); }));
    }

    // Guards against garbled answers of one kind only: no HTTP, and bytes beyond a complete response.
    TEST(SimulatedTarget, GarbledAnswersAreNoHttpOrTooLong)
    {
        const auto service = start(serviceSettings());
        const auto engine = start(engineSettings());
        for (auto* const target : { service.get(), engine.get() }) {
            target->setFault(TargetFaultKind::GarbleAnswers, 1);
            size_t noHttp = 0;
            size_t tooLong = 0;
            for (int i = 0; i < 40 && (noHttp == 0 || tooLong == 0); ++i) {
                const auto bytes = receiveAll(*target, streamRequest("r" + std::to_string(i), "small", "1,12")).bytes;
                noHttp += bytes.starts_with("HTTP/1.1") ? 0 : 1;
                tooLong += bytes.starts_with("HTTP/1.1") && bytes.find("surplus") != std::string::npos ? 1 : 0;
            }
            EXPECT_GT(noHttp, 0U);
            EXPECT_GT(tooLong, 0U);
        }
    }

    // Guards against a delayed order that is answered, or that is carried out although newer ones came before it.
    TEST(SimulatedTarget, DelayedOrderIsCheckedWhenItIsCarriedOut)
    {
        const auto target = start(engineSettings());
        target->setFault(TargetFaultKind::DelayOrders, 1);
        const auto giveUp = [&](const HttpRequest& order) {
            return HttpExchange(target->address(), { .idleTimeout = milliseconds(500) }).call(order);
        };
        auto stale = std::async(std::launch::async, [&] { return giveUp(orderRequest("load", "other", 1, 0)); });
        auto valid = std::async(std::launch::async, [&] { return giveUp(orderRequest("load", "other", 2, 1)); });
        EXPECT_EQ(status(stale.get()), 0U);
        EXPECT_EQ(status(valid.get()), 0U);
        target->setFault(TargetFaultKind::DelayOrders, 0);
        EXPECT_EQ(status(call(*target, orderRequest("unload", "small", 2, 0))), 202U);
        EXPECT_EQ(target->orders().size(), 1U);
        ASSERT_TRUE(eventually([&] { return target->orders().size() == 2; }));
        EXPECT_EQ(target->orders().front().fencingToken, 2);
        ASSERT_TRUE(eventually([&] { return isIdle(*target); }));
        EXPECT_EQ(report(*target)["models"].front()["name"], "other");
    }

    // Guards against a target without a limit of connections, and against closed connections that count as open.
    TEST(SimulatedTarget, ConnectionsBeyondTheLimitAreReset)
    {
        auto settings = serviceSettings(std::chrono::seconds(30));
        settings.maxConnections = 3;
        const auto target = start(settings);
        std::vector<std::future<Received>> calls;
        for (int i = 0; i < 2; ++i)
            calls.push_back(std::async(
                std::launch::async, [&, i] { return receiveAll(*target, workRequest("r" + std::to_string(i))); }));
        ASSERT_TRUE(eventually([&] { return target->runs().size() == 2; }));
        auto third = std::async(std::launch::async, [&] { return receiveAll(*target, workRequest("r2")); });
        ASSERT_TRUE(eventually([&] { return target->runs().size() == 3; }));
        EXPECT_EQ(status(call(*target, workRequest("r3"))), 0U);
        EXPECT_EQ(target->maxOpenConnections(), 3U);
        target->resetConnections(1);
        EXPECT_TRUE(third.get().isReset);
        EXPECT_EQ(report(*target)["running"], 0);
        EXPECT_EQ(target->runs().size(), 3U);
    }

    // Guards against entries that change, and so are sent to all nodes, although the target has nothing new to say.
    TEST(SimulatedTarget, EntryChangesWithTheTargetOnly)
    {
        const auto target = start(engineSettings());
        const auto first = target->entry();
        EXPECT_EQ(body(call(*target, streamRequest("s1", "small", "10,4"))), events(1, 1));
        EXPECT_EQ(target->entry(), first);
        EXPECT_EQ(status(call(*target, orderRequest("load", "other", 1, 0))), 202U);
        ASSERT_TRUE(eventually([&] { return isIdle(*target); }));
        EXPECT_EQ(Json::parse(first.value())["seq"], 1);
        EXPECT_EQ(Json::parse(target->entry().value())["seq"], 2);
    }

    // Guards against a target that leaves without saying so.
    TEST(SimulatedTarget, DrainingIsReported)
    {
        const auto target = start(serviceSettings());
        EXPECT_EQ(Json::parse(target->entry().value())["state"], "ready");
        target->drain(std::chrono::seconds(60));
        const auto entry = Json::parse(target->entry().value());
        EXPECT_EQ(entry["state"], "draining");
        EXPECT_GT(entry["remaining_ms"], 0);
        EXPECT_LE(entry["remaining_ms"], 60000);
        EXPECT_EQ(report(*target)["state"], "draining");
        EXPECT_EQ(status(call(*target, { "GET", "/health", {}, {}, false })), 503U);
        EXPECT_EQ(status(call(*target, workRequest("r1"))), 200U);
    }

} // namespace
} // namespace cyclamenstair
