#include <Tests/RequestFlowTests/RequestMachineFixture.h>

using namespace cyclamenstair;

// Guards against forwarding a partial event, and against lost or repeated events, when a stream is interrupted
// within an event.
TEST(RequestMachine, InterruptedStreamResumesAfterLastCompleteEvent)
{
    Fixture fixture(RetryPolicy::Stream, true);
    (void)fixture.machine->start(start);
    EXPECT_TRUE(find<ForwardHead>(fixture.machine->handle(ResponseStarted { 1, successResponse() }, start)));
    EXPECT_EQ(forwarded(fixture.machine->handle(ResponseContinued { 1, "id: 1\ndata: x\n\nid: 2\nda" }, start)),
        "id: 1\ndata: x\n\n");
    const auto actions = fixture.machine->handle(AttemptDisconnected { 1, true }, start);
    ASSERT_TRUE(find<StartAttempt>(actions));
    EXPECT_EQ(find<StartAttempt>(actions)->resumeAfter, "1");
    EXPECT_FALSE(find<ForwardHead>(fixture.machine->handle(ResponseStarted { 2, successResponse() }, start)));
    EXPECT_EQ(
        forwarded(fixture.machine->handle(ResponseContinued { 2, "id: 2\ndata: y\n\n" }, start)), "id: 2\ndata: y\n\n");
    EXPECT_TRUE(find<FinishResponse>(fixture.machine->handle(ResponseCompleted { 2 }, start)));
}

// Guards against an interrupted response that looks complete to the caller.
TEST(RequestMachine, InterruptedNonResumableStreamIsAborted)
{
    Fixture fixture(RetryPolicy::Stream);
    (void)fixture.machine->start(start);
    (void)fixture.machine->handle(ResponseStarted { 1, successResponse() }, start);
    (void)fixture.machine->handle(ResponseContinued { 1, "id: 1\ndata: x\n\n" }, start);
    const auto actions = fixture.machine->handle(AttemptDisconnected { 1, true }, start);
    EXPECT_TRUE(find<AbortResponse>(actions));
    EXPECT_FALSE(find<FinishResponse>(actions));
}

// Guards against a stream that stops without closing its connection and delays the caller until the deadline.
TEST(RequestMachine, StalledStreamResumesAtAnotherTarget)
{
    Fixture fixture(RetryPolicy::Stream, true);
    (void)fixture.machine->start(start);
    (void)fixture.machine->handle(ResponseStarted { 1, successResponse() }, start);
    (void)fixture.machine->handle(ResponseContinued { 1, "id: 1\ndata: x\n\n" }, start);
    const auto timerAt = fixture.machine->nextTimerAt();
    ASSERT_TRUE(timerAt);
    EXPECT_EQ(*timerAt, start + milliseconds(1200));
    EXPECT_TRUE(find<StartAttempt>(fixture.machine->handle(TimerFired {}, *timerAt)));
    const auto actions = fixture.machine->handle(ResponseStarted { 2, successResponse() }, *timerAt);
    ASSERT_TRUE(find<CancelAttempt>(actions));
    EXPECT_EQ(find<CancelAttempt>(actions)->attempt, 1U);
}

// Guards against a stalled stream that sends a byte now and then, which would delay the caller until the deadline.
TEST(RequestMachine, TricklingStreamResumesAtAnotherTarget)
{
    Fixture fixture(RetryPolicy::Stream, true);
    (void)fixture.machine->start(start);
    (void)fixture.machine->handle(ResponseStarted { 1, successResponse() }, start);
    (void)fixture.machine->handle(ResponseContinued { 1, "id: 1\ndata: x\n\n" }, start);
    for (int i = 1; i <= 3; ++i)
        (void)fixture.machine->handle(ResponseContinued { 1, "d" }, start + milliseconds(300) * i);
    EXPECT_EQ(fixture.machine->nextTimerAt(), start + milliseconds(1200));
    const auto actions = fixture.machine->handle(TimerFired {}, start + milliseconds(1200));
    ASSERT_TRUE(find<StartAttempt>(actions));
    EXPECT_EQ(find<StartAttempt>(actions)->resumeAfter, "1");
    EXPECT_TRUE(find<CancelAttempt>(
        fixture.machine->handle(ResponseStarted { 2, successResponse() }, start + milliseconds(1300))));
}

// Guards against a slow but sound stream that is cut: each complete event counts as progress.
TEST(RequestMachine, SlowStreamContinues)
{
    Fixture fixture(RetryPolicy::Stream, true);
    (void)fixture.machine->start(start);
    (void)fixture.machine->handle(ResponseStarted { 1, successResponse() }, start);
    for (int i = 1; i <= 4; ++i) {
        const auto now = start + milliseconds(1100) * i;
        EXPECT_TRUE(fixture.machine->handle(TimerFired {}, now).empty());
        EXPECT_FALSE(forwarded(
            fixture.machine->handle(ResponseContinued { 1, "id: " + std::to_string(i) + "\ndata: x\n\n" }, now))
                         .empty());
    }
}

// Guards against memory that grows without bound while a target sends an event without end.
TEST(RequestMachine, EndlessEventIsInterrupted)
{
    Fixture fixture(RetryPolicy::Stream, true);
    (void)fixture.machine->start(start);
    (void)fixture.machine->handle(ResponseStarted { 1, successResponse() }, start);
    const std::string part(65536, 'x');
    for (int i = 0; i < 64; ++i) {
        const auto actions = fixture.machine->handle(ResponseContinued { 1, part }, start + milliseconds(i));
        EXPECT_TRUE(forwarded(actions).empty());
        if (find<CancelAttempt>(actions)) {
            EXPECT_TRUE(find<StartAttempt>(actions));
            return;
        }
    }
    FAIL() << "4 MiB of one event were buffered";
}

// Guards against a stream that breaks off inside an event and reaches the caller as complete. Without a length only the
// end of the connection ends the body.
TEST(RequestMachine, StreamThatEndsInsideEventResumes)
{
    Fixture fixture(RetryPolicy::Stream, true);
    (void)fixture.machine->start(start);
    (void)fixture.machine->handle(ResponseStarted { 1, successResponse() }, start);
    (void)fixture.machine->handle(ResponseContinued { 1, "id: 1\ndata: x\n\nid: 2\nda" }, start);
    const auto actions = fixture.machine->handle(ResponseCompleted { 1, false }, start);
    EXPECT_FALSE(find<FinishResponse>(actions));
    ASSERT_TRUE(find<StartAttempt>(actions));
    EXPECT_EQ(find<StartAttempt>(actions)->resumeAfter, "1");
}

// Guards against the same if the response is chunked: its last chunk may be sent although the stream is cut.
TEST(RequestMachine, FramedStreamThatEndsInsideEventResumes)
{
    Fixture fixture(RetryPolicy::Stream, true);
    (void)fixture.machine->start(start);
    (void)fixture.machine->handle(ResponseStarted { 1, successResponse() }, start);
    (void)fixture.machine->handle(ResponseContinued { 1, "id: 1\ndata: x\n\nid: 2\nda" }, start);
    const auto actions = fixture.machine->handle(ResponseCompleted { 1, true }, start);
    EXPECT_FALSE(find<FinishResponse>(actions));
    EXPECT_EQ(forwarded(actions), "");
    ASSERT_TRUE(find<StartAttempt>(actions));
    EXPECT_EQ(find<StartAttempt>(actions)->resumeAfter, "1");
}

// Guards against a stream without an event that reaches the caller as complete because its connection ended.
TEST(RequestMachine, UnframedStreamWithoutEventsIsRepeated)
{
    Fixture fixture(RetryPolicy::Stream, true);
    (void)fixture.machine->start(start);
    (void)fixture.machine->handle(ResponseStarted { 1, successResponse() }, start);
    const auto actions = fixture.machine->handle(ResponseCompleted { 1, false }, start);
    EXPECT_FALSE(find<FinishResponse>(actions));
    EXPECT_TRUE(find<StartAttempt>(actions));
}

// Guards against an error of the target at which a stream resumes that reaches the caller inside its stream, or as the
// end of it.
TEST(RequestMachine, ErrorOfResumedStreamIsNotForwarded)
{
    for (const uint32_t status : { 400U, 404U, 500U, 302U, 503U }) {
        Fixture fixture(RetryPolicy::Stream, true);
        (void)fixture.machine->start(start);
        (void)fixture.machine->handle(ResponseStarted { 1, successResponse() }, start);
        (void)fixture.machine->handle(ResponseContinued { 1, "id: 1\ndata: x\n\n" }, start);
        ASSERT_TRUE(find<StartAttempt>(fixture.machine->handle(AttemptDisconnected { 1, true }, start)));
        std::vector<RequestAction> all;
        for (const RequestEvent& event :
            std::vector<RequestEvent> { ResponseStarted { 2, { status, true, true, false, false } },
                ResponseContinued { 2, "id: 2\ndata: error\n\n" }, ResponseCompleted { 2 } }) {
            const auto actions = fixture.machine->handle(event, start);
            all.insert(all.end(), actions.begin(), actions.end());
        }
        EXPECT_EQ(forwarded(all), "") << status;
        EXPECT_FALSE(find<ForwardHead>(all)) << status;
        EXPECT_FALSE(find<FinishResponse>(all)) << status;
        EXPECT_TRUE(find<AbortResponse>(all)) << status;
    }
}

// Guards against a quarantine of sound prompts in a large fleet, in which the loss of one answer does not show whether
// the target's process ended: the loss is reported for verification and is no evidence by itself.
TEST(RequestMachine, LostAnswerIsVerifiedInALargeFleet)
{
    Fixture fixture(RetryPolicy::Stream, true);
    fixture.targets.setLargeFleet(true);
    auto requestInfo = fixture.machine->requestInfo();
    requestInfo.promptParts = { { "shared" }, "own" };
    const auto machine = fixture.makeMachine(requestInfo);
    const auto* attempt = find<StartAttempt>(machine->start(start));
    ASSERT_TRUE(attempt);
    const auto actions = machine->handle(AttemptDisconnected { 1, true, true }, start);
    const auto* report = find<ReportLostAnswer>(actions);
    ASSERT_TRUE(report);
    EXPECT_FALSE(report->target.id.empty());
    EXPECT_TRUE(fixture.quarantine.rows(start).empty());
}

// Guards against requests that are lost at a silent target of a large fleet, one after the other, because no node
// counts them until its caller leaves.
TEST(RequestMachine, RequestWithoutResponseCountsAsOverdue)
{
    Fixture fixture(RetryPolicy::Once);
    fixture.targets.setLargeFleet(true);
    const auto machine = fixture.makeMachine(fixture.machine->requestInfo());
    const auto actions = machine->start(start);
    const auto target = find<StartAttempt>(actions)->target.id;
    const auto overdueAt = start + 2 * milliseconds(600);
    EXPECT_EQ(machine->nextTimerAt(), overdueAt);
    (void)machine->handle(TimerFired {}, overdueAt);
    EXPECT_EQ(fixture.targets.loads().at(target).overdue, 1U);
    EXPECT_EQ(machine->nextTimerAt(), start + milliseconds(5000));
    (void)machine->handle(ResponseStarted { 1, successResponse() }, overdueAt);
    EXPECT_EQ(fixture.targets.loads().at(target).overdue, 0U);
}

// Guards against a team's batch that runs before its urgent requests, and against a route that goes before a team.
TEST(RequestInfo, TeamPriorityGoesBeforeRoutePriority)
{
    const auto urgency = [](std::optional<uint32_t> team, uint32_t route) {
        RequestInfo info;
        info.teamPriority = team;
        info.route.priority = route;
        return info.urgency();
    };
    EXPECT_LT(urgency(0, 0), urgency(0, 2));
    EXPECT_LT(urgency(0, 2), urgency(1, 0));
    EXPECT_LT(urgency(1, 7), urgency(2, 0));
    EXPECT_EQ(urgency(4000000000, 4000000000), 9U);
    EXPECT_EQ(urgency(std::nullopt, 4), 4U);
    EXPECT_EQ(urgency(std::nullopt, 12), 9U);
}

// Guards against callers that are refused while an adapter is being loaded for them, which takes longer in a large
// fleet.
TEST(RequestMachine, FirstAttemptWaitsForAdapterOrderOfALargeFleet)
{
    Fixture fixture(RetryPolicy::Stream);
    TargetRecord engine;
    engine.id = "i-1";
    engine.service = "service";
    engine.address = "127.0.0.1:1";
    engine.slots = 4;
    engine.models = { { "m", {} } };
    fixture.targets.update(engine, 2);
    auto requestInfo = fixture.machine->requestInfo();
    requestInfo.model = "m";
    requestInfo.adapter = "a1";
    for (const bool isLargeFleet : { false, true }) {
        fixture.targets.setLargeFleet(isLargeFleet);
        const auto machine = fixture.makeMachine(requestInfo);
        EXPECT_TRUE(machine->start(start).empty());
        const auto actions = machine->handle(TimerFired {}, start + milliseconds(600));
        EXPECT_EQ(find<SendLocalResponse>(actions) == nullptr, isLargeFleet);
    }
}
