#include <Tests/RequestFlowTests/RequestMachineFixture.h>

using namespace cyclamenstair;

namespace {

const std::string firstEvent = "id: 1\ndata: x\n\n";
const std::string secondEvent = "id: 2\ndata: y\n\n";

/// A stream that has sent its first event and then stalled, with an alternative attempt under way.
struct StalledStream : Fixture {
    StalledStream()
        : Fixture(RetryPolicy::Stream, true)
    {
        (void)machine->start(start);
        (void)machine->handle(ResponseStarted { 1, successResponse() }, start);
        (void)machine->handle(ResponseContinued { 1, firstEvent }, start);
        stalledAt = machine->nextTimerAt().value();
        const auto actions = machine->handle(TimerFired {}, stalledAt);
        EXPECT_TRUE(find<StartAttempt>(actions));
        EXPECT_FALSE(find<CancelAttempt>(actions));
    }

    void expectFirstAttemptGoesOn()
    {
        EXPECT_EQ(forwarded(machine->handle(ResponseContinued { 1, secondEvent }, stalledAt + milliseconds(300))),
            secondEvent);
        EXPECT_TRUE(find<FinishResponse>(machine->handle(ResponseCompleted { 1 }, stalledAt + milliseconds(300))));
    }

    TimePoint stalledAt;
};

} // namespace

// Guards against a stream that is cut during a pause of its sound target because another target is full.
TEST(AlternativeAttempt, RefusalLeavesStalledStreamRunning)
{
    StalledStream stream;
    const auto actions = stream.machine->handle(ResponseStarted { 2, notRunResponse() }, stream.stalledAt);
    EXPECT_FALSE(find<AbortResponse>(actions));
    EXPECT_EQ(find<CancelAttempt>(actions)->attempt, 2U);
    stream.expectFirstAttemptGoesOn();
}

// Guards against a stalled stream that ends with the connection to another target.
TEST(AlternativeAttempt, LostConnectionLeavesStalledStreamRunning)
{
    StalledStream stream;
    EXPECT_TRUE(stream.machine->handle(AttemptDisconnected { 2, true, true }, stream.stalledAt).empty());
    stream.expectFirstAttemptGoesOn();
}

// Guards against a request that runs at two targets after its first target goes on.
TEST(AlternativeAttempt, ProgressOfStalledStreamCancelsAlternative)
{
    StalledStream stream;
    const auto actions = stream.machine->handle(ResponseContinued { 1, secondEvent }, stream.stalledAt);
    EXPECT_EQ(forwarded(actions), secondEvent);
    ASSERT_TRUE(find<CancelAttempt>(actions));
    EXPECT_EQ(find<CancelAttempt>(actions)->attempt, 2U);
    EXPECT_TRUE(stream.machine->handle(ResponseStarted { 2, successResponse() }, stream.stalledAt).empty());
}

// Guards against a third attempt, or none, when the stalled target ends while another one has not answered yet.
TEST(AlternativeAttempt, TakesOverWhenStalledTargetEnds)
{
    StalledStream stream;
    EXPECT_TRUE(stream.machine->handle(AttemptDisconnected { 1, true, true }, stream.stalledAt).empty());
    (void)stream.machine->handle(ResponseStarted { 2, successResponse() }, stream.stalledAt);
    EXPECT_EQ(forwarded(stream.machine->handle(ResponseContinued { 2, secondEvent }, stream.stalledAt)), secondEvent);
    EXPECT_TRUE(find<FinishResponse>(stream.machine->handle(ResponseCompleted { 2 }, stream.stalledAt)));
}

// Guards against targets that go on working for a caller that has left.
TEST(AlternativeAttempt, CallerDisconnectCancelsBothAttempts)
{
    StalledStream stream;
    EXPECT_EQ(stream.machine->handle(CallerDisconnected {}, stream.stalledAt).size(), 2U);
    for (const auto& [id, load] : stream.targets.loads())
        EXPECT_EQ(load.inFlight, 0U);
}

// Guards against a plain request that fails because another target is full, although its first target still works on
// it.
TEST(AlternativeAttempt, RefusalLeavesSlowPlainRequestRunning)
{
    Fixture fixture(RetryPolicy::Safe);
    (void)fixture.machine->start(start);
    const auto timerAt = fixture.machine->nextTimerAt().value();
    ASSERT_TRUE(find<StartAttempt>(fixture.machine->handle(TimerFired {}, timerAt)));
    EXPECT_FALSE(find<SendLocalResponse>(fixture.machine->handle(ResponseStarted { 2, notRunResponse() }, timerAt)));
    (void)fixture.machine->handle(ResponseStarted { 1, successResponse() }, timerAt + milliseconds(100));
    (void)fixture.machine->handle(ResponseContinued { 1, "answer" }, timerAt + milliseconds(100));
    EXPECT_EQ(forwarded(fixture.machine->handle(ResponseCompleted { 1 }, timerAt + milliseconds(100))), "answer");
}

// Guards against a refusal as "not run" of a request that another target may have run before it was given up there.
TEST(AlternativeAttempt, AbandonedAlternativeMayHaveRun)
{
    Fixture fixture(RetryPolicy::Safe, false, 3);
    (void)fixture.machine->start(start);
    for (int i = 0; i < 2; ++i) {
        const auto timerAt = fixture.machine->nextTimerAt().value();
        ASSERT_TRUE(find<StartAttempt>(fixture.machine->handle(TimerFired {}, timerAt)));
    }
    const auto now = start + milliseconds(4000);
    (void)fixture.machine->handle(ResponseStarted { 3, notRunResponse() }, now);
    const auto actions = fixture.machine->handle(ResponseStarted { 1, notRunResponse() }, now);
    ASSERT_TRUE(find<SendLocalResponse>(actions));
    EXPECT_EQ(find<SendLocalResponse>(actions)->kind, LocalResponseKind::Failed);
}
