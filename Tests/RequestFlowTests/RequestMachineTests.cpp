#include <Tests/RequestFlowTests/RequestMachineFixture.h>

#include <rapidcheck/gtest.h>

using namespace cyclamenstair;

// Guards against forwarding a part of a response that could still be replaced by another attempt.
TEST(RequestMachine, BuffersShortResponseUntilComplete)
{
    Fixture fixture(RetryPolicy::Once);
    ASSERT_TRUE(find<StartAttempt>(fixture.machine->start(start)));
    EXPECT_TRUE(fixture.machine->handle(ResponseStarted { 1, successResponse() }, start).empty());
    EXPECT_TRUE(fixture.machine->handle(ResponseContinued { 1, "booked" }, start).empty());
    const auto actions = fixture.machine->handle(ResponseCompleted { 1 }, start);
    EXPECT_EQ(find<ForwardHead>(actions)->bodyBytes, 6U);
    EXPECT_EQ(forwarded(actions), "booked");
    EXPECT_TRUE(find<FinishResponse>(actions));
    EXPECT_TRUE(fixture.machine->isFinished());
}

// Guards against a request that waits although its model cannot be loaded in time, and against a caller that retries
// while the model is still loading and is refused again.
TEST(RequestMachine, RetryAfterCoversLoadOfAbsentModel)
{
    Fixture fixture(RetryPolicy::Stream);
    RequestInfo requestInfo = fixture.machine->requestInfo();
    requestInfo.model = "m";
    requestInfo.callerTimeout = milliseconds(10000);
    requestInfo.route.timeout = milliseconds(10000);
    const auto retryAfterFor = [&](Duration loadTime) {
        requestInfo.modelLoadTime = loadTime;
        const auto actions = fixture.makeMachine(requestInfo)->start(start);
        const auto* response = find<SendLocalResponse>(actions);
        EXPECT_TRUE(response && response->kind == LocalResponseKind::NotRun);
        return response ? response->retryAfter.value_or(Duration(0)) : Duration(0);
    };
    // 1.5 s for a decision and an unload, the load, and up to half of their sum, so that callers return separately.
    const auto wait = retryAfterFor(milliseconds(2300));
    EXPECT_GE(wait, milliseconds(3800));
    EXPECT_LE(wait, milliseconds(3800) * 3 / 2);
    // Retry-After is capped so that the caller has enough time for the response.
    EXPECT_EQ(retryAfterFor(milliseconds(9000)), milliseconds(10000) * 6 / 10);
}

// Guards against refused callers that come back all at once and are refused again. Replays a burst for a missing model.
TEST(RequestMachine, RefusedCallersComeBackSpread)
{
    Fixture fixture(RetryPolicy::Stream);
    RequestInfo requestInfo = fixture.machine->requestInfo();
    requestInfo.model = "m";
    requestInfo.modelLoadTime = milliseconds(2000);
    requestInfo.callerTimeout = milliseconds(30000);
    requestInfo.route.timeout = milliseconds(30000);
    constexpr int burst = 200;
    std::map<int64_t, int> returnsByWindow;
    for (int i = 0; i < burst; ++i) {
        const auto actions = fixture.makeMachine(requestInfo)->start(start);
        const auto* response = find<SendLocalResponse>(actions);
        ASSERT_TRUE(response && response->retryAfter);
        ++returnsByWindow[toMilliseconds(*response->retryAfter) / 100];
    }
    for (const auto& [window, returns] : returnsByWindow)
        EXPECT_LE(returns, burst / 4) << window * 100 << " ms";
}

// Guards against callers that are held until their deadline, or come back all at once, because all targets pause.
TEST(RequestMachine, PauseOfAllTargetsIsWaitedForOrRefusedAtOnce)
{
    Fixture fixture(RetryPolicy::Once, false, 1);
    const auto pauseAll = [&](Duration duration) {
        for (const char* id : { "i-1", "i-2", "i-3" })
            (void)fixture.targets.pause({ id, "127.0.0.1:1", "service" }, duration, start);
    };
    pauseAll(milliseconds(200));
    const auto waiting = fixture.makeMachine(fixture.machine->requestInfo());
    EXPECT_TRUE(waiting->start(start).empty());
    EXPECT_EQ(waiting->nextTimerAt(), start + milliseconds(200));
    EXPECT_TRUE(find<StartAttempt>(waiting->handle(TimerFired {}, start + milliseconds(200))));
    pauseAll(milliseconds(4000));
    std::set<int64_t> retryTimes;
    for (int i = 0; i < 20; ++i) {
        const auto actions = fixture.makeMachine(fixture.machine->requestInfo())->start(start);
        const auto* response = find<SendLocalResponse>(actions);
        ASSERT_TRUE(response && response->kind == LocalResponseKind::NotRun);
        EXPECT_GE(response->retryAfter, milliseconds(4000));
        retryTimes.insert(toMilliseconds(*response->retryAfter) / 100);
    }
    EXPECT_GE(retryTimes.size(), 5U);
}

// Guards against a refused request that is sent on to other brittle targets without room, against one that ends
// although a slot becomes free while it can wait, and against one that waits without end.
TEST(RequestMachine, RefusedRequestWaitsForRoomAtBrittleTargets)
{
    Fixture fixture(RetryPolicy::Once, false, 2);
    fixture.targets.setNodeCount(10000, 9999); // This node has no part of the slots.
    const auto first = fixture.machine->start(start);
    ASSERT_TRUE(find<StartAttempt>(first));
    ResponseInfo refusal { 503, true, false, true };
    refusal.brittleLimit = 2;
    const auto refused = fixture.machine->handle(ResponseStarted { 1, refusal }, start);
    const auto* report = find<ReportStatement>(refused);
    ASSERT_TRUE(report);
    EXPECT_EQ(report->statement, TargetStatement::Brittle);
    EXPECT_EQ(report->refusalLimit, 2U);
    EXPECT_FALSE(find<StartAttempt>(refused));
    ASSERT_FALSE(fixture.machine->isFinished());
    const auto waiting = fixture.makeMachine(fixture.machine->requestInfo());
    EXPECT_TRUE(waiting->start(start).empty());
    fixture.targets.setNodeCount(1);
    EXPECT_TRUE(find<StartAttempt>(fixture.machine->handle(TimerFired {}, *fixture.machine->nextTimerAt())));
    fixture.targets.setNodeCount(10000, 9999);
    const auto limit = start + fixture.machine->requestInfo().route.targetLatency;
    std::vector<RequestAction> last;
    while (!waiting->isFinished() && *waiting->nextTimerAt() <= limit)
        last = waiting->handle(TimerFired {}, *waiting->nextTimerAt());
    const auto* response = find<SendLocalResponse>(last);
    ASSERT_TRUE(response);
    EXPECT_EQ(response->kind, LocalResponseKind::NotRun);
    EXPECT_EQ(response->reason, "targets_brittle");
    EXPECT_TRUE(response->retryAfter);
}

// Guards against refusing a request whose model can be loaded while it waits.
TEST(RequestMachine, WaitsForLoadThatCanEndInTime)
{
    Fixture fixture(RetryPolicy::Stream);
    RequestInfo requestInfo = fixture.machine->requestInfo();
    requestInfo.model = "m";
    requestInfo.modelLoadTime = milliseconds(300);
    const auto machine = fixture.makeMachine(requestInfo);
    EXPECT_FALSE(find<SendLocalResponse>(machine->start(start)));
    EXPECT_TRUE(find<SendLocalResponse>(machine->handle(TimerFired {}, start + milliseconds(300))));
}

// Guards against a prompt that waits for a target without a backlog until too little time is left to process it.
TEST(RequestMachine, PromptWaitIsBounded)
{
    Fixture fixture(RetryPolicy::Once);
    RequestInfo requestInfo = fixture.machine->requestInfo();
    requestInfo.promptTokens = 1500;
    std::vector<std::unique_ptr<RequestMachine>> precedingPrompts;
    for (int i = 0; i < 3; ++i) {
        precedingPrompts.push_back(fixture.makeMachine(requestInfo));
        ASSERT_TRUE(find<StartAttempt>(precedingPrompts.back()->start(start)));
    }
    const auto next = fixture.makeMachine(requestInfo);
    const auto last = fixture.makeMachine(requestInfo);
    EXPECT_TRUE(next->start(start).empty());
    EXPECT_TRUE(last->start(start).empty());
    // A target that has processed its prompt receives the next one.
    (void)precedingPrompts[0]->handle(ResponseStarted { 1, successResponse() }, start + milliseconds(50));
    EXPECT_TRUE(find<StartAttempt>(next->handle(TimerFired {}, start + milliseconds(60))));
    EXPECT_FALSE(find<StartAttempt>(last->handle(TimerFired {}, start + milliseconds(60))));
    const auto maxPromptWait = milliseconds(240);
    EXPECT_TRUE(find<StartAttempt>(last->handle(TimerFired {}, start + maxPromptWait)));
}

// Guards against running a request twice, or reporting it as not run, when the connection fails after it was sent.
TEST(RequestMachine, SentNonRetryableRequestIsNotRetried)
{
    Fixture fixture(RetryPolicy::Once);
    (void)fixture.machine->start(start);
    const auto actions = fixture.machine->handle(AttemptDisconnected { 1, true }, start);
    EXPECT_FALSE(find<StartAttempt>(actions));
    ASSERT_TRUE(find<SendLocalResponse>(actions));
    EXPECT_EQ(find<SendLocalResponse>(actions)->kind, LocalResponseKind::Failed);
}

// Guards against counting an attempt that failed to connect against the maximum number of attempts.
TEST(RequestMachine, UnsentRequestGoesToAnotherTarget)
{
    Fixture fixture(RetryPolicy::Once, false, 1);
    const auto first = find<StartAttempt>(fixture.machine->start(start))->target.id;
    const auto actions = fixture.machine->handle(AttemptDisconnected { 1, false }, start);
    ASSERT_TRUE(find<StartAttempt>(actions));
    EXPECT_NE(find<StartAttempt>(actions)->target.id, first);
}

// Guards against failing a request after one refusal, and against retrying it without limit.
TEST(RequestMachine, RefusedRequestIsRetriedUpToMaxAttempts)
{
    Fixture fixture(RetryPolicy::Once);
    (void)fixture.machine->start(start);
    EXPECT_TRUE(find<StartAttempt>(fixture.machine->handle(ResponseStarted { 1, notRunResponse() }, start)));
    const auto actions = fixture.machine->handle(ResponseStarted { 2, notRunResponse() }, start);
    ASSERT_TRUE(find<SendLocalResponse>(actions));
    EXPECT_EQ(find<SendLocalResponse>(actions)->kind, LocalResponseKind::NotRun);
    EXPECT_TRUE(find<SendLocalResponse>(actions)->retryAfter.has_value());
}

// Guards against forwarding a failure response while another target can still be tried.
TEST(RequestMachine, FailureOfRetryableRequestIsRetried)
{
    Fixture fixture(RetryPolicy::Safe);
    (void)fixture.machine->start(start);
    EXPECT_TRUE(find<StartAttempt>(fixture.machine->handle(ResponseStarted { 1, failureResponse() }, start)));
    // The failure of the last attempt is forwarded.
    (void)fixture.machine->handle(ResponseStarted { 2, failureResponse() }, start);
    EXPECT_TRUE(find<FinishResponse>(fixture.machine->handle(ResponseCompleted { 2 }, start)));
}

// Guards against forwarding a response that belongs to another request.
TEST(RequestMachine, ResponseToAnotherRequestIsNotForwarded)
{
    Fixture fixture(RetryPolicy::Once);
    (void)fixture.machine->start(start);
    auto response = successResponse();
    response.matchesRequestId = false;
    const auto actions = fixture.machine->handle(ResponseStarted { 1, response }, start);
    EXPECT_TRUE(find<CancelAttempt>(actions));
    EXPECT_EQ(find<SendLocalResponse>(actions)->kind, LocalResponseKind::Failed);
}

// Guards against forwarding a success response that the target did not generate itself.
TEST(RequestMachine, SuccessWithoutReceiptIsNotForwarded)
{
    Fixture fixture(RetryPolicy::Safe, false, 1);
    (void)fixture.machine->start(start);
    auto response = successResponse();
    response.hasReceipt = false;
    EXPECT_TRUE(find<SendLocalResponse>(fixture.machine->handle(ResponseStarted { 1, response }, start)));
}

// Guards against a target that accepts a request, never responds, and uses up the time until the deadline.
TEST(RequestMachine, UnansweredRetryableRequestGoesToAnotherTarget)
{
    Fixture fixture(RetryPolicy::Stream, true);
    (void)fixture.machine->start(start);
    (void)fixture.machine->handle(ResponseStarted { 1, successResponse() }, start);
    EXPECT_EQ(fixture.machine->nextTimerAt(), start + milliseconds(1440));
    const auto actions = fixture.machine->handle(TimerFired {}, start + milliseconds(1440));
    ASSERT_TRUE(find<StartAttempt>(actions));
    EXPECT_FALSE(find<StartAttempt>(actions)->resumeAfter);
    // The caller already has a response head, so that of the second target is not forwarded.
    const auto answered = fixture.machine->handle(ResponseStarted { 2, successResponse() }, start + milliseconds(1500));
    EXPECT_FALSE(find<ForwardHead>(answered));
    ASSERT_TRUE(find<CancelAttempt>(answered));
    EXPECT_EQ(find<CancelAttempt>(answered)->attempt, 1U);
    EXPECT_EQ(
        forwarded(fixture.machine->handle(ResponseContinued { 2, "id: 1\ndata: x\n\n" }, start + milliseconds(1500))),
        "id: 1\ndata: x\n\n");
}

// Guards against cancelling a slow attempt when no other target can take the request.
TEST(RequestMachine, StalledAttemptContinuesWithoutAlternativeTarget)
{
    Fixture fixture(RetryPolicy::Stream, true);
    const auto usedTarget = find<StartAttempt>(fixture.machine->start(start))->target.id;
    for (const char* id : { "i-1", "i-2", "i-3" }) {
        if (id != usedTarget)
            fixture.targets.remove(id, 2);
    }
    EXPECT_TRUE(fixture.machine->handle(TimerFired {}, start + milliseconds(1440)).empty());
    EXPECT_FALSE(fixture.machine->isFinished());
    EXPECT_TRUE(find<ForwardHead>(
        fixture.machine->handle(ResponseStarted { 1, successResponse() }, start + milliseconds(1900))));
}

// Guards against replacing a target's failure response by a local one when no other target can take the request.
TEST(RequestMachine, FailureIsForwardedWithoutAlternativeTarget)
{
    Fixture fixture(RetryPolicy::Safe);
    const auto usedTarget = find<StartAttempt>(fixture.machine->start(start))->target.id;
    for (const char* id : { "i-1", "i-2", "i-3" }) {
        if (id != usedTarget)
            fixture.targets.remove(id, 2);
    }
    (void)fixture.machine->handle(ResponseStarted { 1, failureResponse() }, start);
    EXPECT_TRUE(find<FinishResponse>(fixture.machine->handle(ResponseCompleted { 1 }, start)));
}

// Guards against cancelling a slow request that must not be sent again.
TEST(RequestMachine, NonRetryableRequestHasNoStallTimeout)
{
    Fixture fixture(RetryPolicy::Once);
    (void)fixture.machine->start(start);
    EXPECT_EQ(fixture.machine->nextTimerAt(), start + milliseconds(5000));
}

// Guards against a target that continues a request after the caller has disconnected.
TEST(RequestMachine, CallerDisconnectCancelsAttempt)
{
    Fixture fixture(RetryPolicy::Safe);
    (void)fixture.machine->start(start);
    EXPECT_TRUE(find<CancelAttempt>(fixture.machine->handle(CallerDisconnected {}, start)));
    EXPECT_TRUE(fixture.machine->isFinished());
    EXPECT_TRUE(fixture.machine->handle(ResponseStarted { 1, successResponse() }, start).empty());
}

// Guards against a request that remains without a response after the route timeout.
TEST(RequestMachine, RouteTimeoutSendsLocalResponse)
{
    Fixture fixture(RetryPolicy::Safe, false, 1);
    (void)fixture.machine->start(start);
    EXPECT_EQ(fixture.machine->nextTimerAt(), start + milliseconds(5000));
    const auto actions = fixture.machine->handle(TimerFired {}, start + milliseconds(5000));
    EXPECT_TRUE(find<CancelAttempt>(actions));
    EXPECT_EQ(find<SendLocalResponse>(actions)->kind, LocalResponseKind::TimedOut);
}

// Guards against a caller that waits until the deadline although no target can take the request.
TEST(RequestMachine, RequestWithoutTargetIsRefusedBeforeDeadline)
{
    Fixture fixture(RetryPolicy::Safe);
    for (const char* id : { "i-1", "i-2", "i-3" })
        fixture.targets.remove(id, 2);
    EXPECT_TRUE(fixture.machine->start(start).empty());
    const auto actions = fixture.machine->handle(TimerFired {}, start + milliseconds(300));
    ASSERT_TRUE(find<SendLocalResponse>(actions));
    EXPECT_EQ(find<SendLocalResponse>(actions)->kind, LocalResponseKind::NotRun);
}

namespace {

RequestEvent randomEvent(uint32_t attempt)
{
    const auto head = *rc::gen::element(successResponse(), notRunResponse(), failureResponse(),
        ResponseInfo { 421, true, false, true, true }, ResponseInfo { 200, false, true, false, false });
    switch (*rc::gen::inRange(0, 7)) {
    case 0:
    case 1:
        return ResponseStarted { attempt, head };
    case 2:
        return ResponseContinued { attempt, *rc::gen::element<std::string>("id: 1\ndata: x\n\n", "id: 2", "\n\n") };
    case 3:
        return ResponseCompleted { attempt };
    case 4:
        return AttemptDisconnected { attempt, *rc::gen::arbitrary<bool>() };
    case 5:
        return CallerDisconnected {};
    default:
        return TimerFired {};
    }
}

/// State of the request as implied by the actions so far.
struct ActionSummary {
    uint32_t attempts { 0 };
    uint32_t completions { 0 };
    bool isRunning { false }; ///< An attempt is in progress.
    bool mayHaveRun { false };
    bool isRefused { false };
};

void summarize(ActionSummary& summary, const std::vector<RequestAction>& actions)
{
    for (const auto& action : actions) {
        std::visit(Overloaded {
                       [&](const StartAttempt&) {
                           ++summary.attempts;
                           summary.isRunning = true;
                       },
                       [&](const CancelAttempt&) { summary.isRunning = false; },
                       [&](const FinishResponse&) { ++summary.completions; },
                       [&](const AbortResponse&) { ++summary.completions; },
                       [&](const SendLocalResponse& response) {
                           ++summary.completions;
                           summary.isRefused = response.kind == LocalResponseKind::NotRun;
                       },
                       [](const auto&) {},
                   },
            action);
    }
}

/// Returns whether the target may have run the request, given the event.
bool impliesMayHaveRun(const RequestEvent& event)
{
    if (const auto* disconnected = std::get_if<AttemptDisconnected>(&event))
        return disconnected->wasSent;
    const auto* started = std::get_if<ResponseStarted>(&event);
    return started && !(started->head.isNotRun || started->head.isMisdirected);
}

} // namespace

// For any sequence of events: a non-retryable request is not sent again once it may have run, a request that may have
// run is not reported as not run, each request completes at most once, and all targets are released.
RC_GTEST_PROP(RequestMachineProperties, InvariantsHoldForAnyEventOrder, ())
{
    const auto retryPolicy = *rc::gen::element(RetryPolicy::Once, RetryPolicy::Safe, RetryPolicy::Stream);
    const bool isResumable = *rc::gen::arbitrary<bool>();
    Fixture fixture(retryPolicy, isResumable);
    auto now = start;
    ActionSummary summary;
    summarize(summary, fixture.machine->start(now));
    const auto count = *rc::gen::inRange(1, 25);
    for (int i = 0; i < count && !fixture.machine->isFinished(); ++i) {
        now += milliseconds(*rc::gen::inRange(0, 700));
        const auto event = randomEvent(summary.attempts);
        const auto attemptsBefore = summary.attempts;
        summary.mayHaveRun = summary.mayHaveRun || (summary.isRunning && impliesMayHaveRun(event));
        if (std::holds_alternative<AttemptDisconnected>(event) || std::holds_alternative<ResponseCompleted>(event))
            summary.isRunning = false;
        summarize(summary, fixture.machine->handle(event, now));
        if (summary.mayHaveRun && retryPolicy == RetryPolicy::Once)
            RC_ASSERT(summary.attempts == attemptsBefore);
    }
    if (summary.isRefused)
        RC_ASSERT(!summary.mayHaveRun);
    RC_ASSERT(summary.completions <= 1);
    if (!fixture.machine->isFinished())
        (void)fixture.machine->handle(CallerDisconnected {}, now);
    for (const auto& [id, load] : fixture.targets.loads())
        RC_ASSERT(load.inFlight == 0);
    RC_ASSERT(!fixture.machine->nextTimerAt().has_value());
}
