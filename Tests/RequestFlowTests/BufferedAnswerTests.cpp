#include <Tests/RequestFlowTests/RequestMachineFixture.h>

using namespace cyclamenstair;

// Guards against an answer that begins with what a stalled target sent and ends with the answer of another target.
TEST(RequestMachine, StalledAnswerIsNotJoinedWithThatOfAnotherTarget)
{
    Fixture fixture(RetryPolicy::Safe);
    (void)fixture.machine->start(start);
    (void)fixture.machine->handle(ResponseStarted { 1, successResponse() }, start);
    (void)fixture.machine->handle(ResponseContinued { 1, "half of the fir" }, start);
    const auto timerAt = fixture.machine->nextTimerAt().value();
    ASSERT_TRUE(find<StartAttempt>(fixture.machine->handle(TimerFired {}, timerAt)));
    (void)fixture.machine->handle(ResponseStarted { 2, successResponse() }, timerAt);
    (void)fixture.machine->handle(ResponseContinued { 2, "second" }, timerAt);
    const auto actions = fixture.machine->handle(ResponseCompleted { 2 }, timerAt);
    EXPECT_EQ(find<ForwardHead>(actions)->bodyBytes, 6U);
    EXPECT_EQ(forwarded(actions), "second");
}
