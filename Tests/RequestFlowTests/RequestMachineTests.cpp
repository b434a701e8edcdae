#include <Cyclamenstair/Core/Overloaded.h>
#include <Cyclamenstair/RequestFlow/RequestMachine.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace cyclamenstair;

namespace {

constexpr TimePoint start { std::chrono::seconds(100) };

template <typename Action> const Action* find(const std::vector<RequestAction>& actions)
{
    for (const auto& action : actions) {
        if (const auto* found = std::get_if<Action>(&action))
            return found;
    }
    return nullptr;
}

std::string forwarded(const std::vector<RequestAction>& actions)
{
    std::string data;
    for (const auto& action : actions) {
        if (const auto* forward = std::get_if<ForwardData>(&action))
            data += forward->data;
    }
    return data;
}

/// A machine with two targets and the state that it shares with others.
struct Bench {
    explicit Bench(RepeatRule rule, bool isResumable = false, uint32_t maxAttempts = 2)
    {
        for (const char* id : { "i-1", "i-2", "i-3" }) {
            TargetRecord record;
            record.id = id;
            record.service = "service";
            record.address = "127.0.0.1:1";
            record.slots = 4;
            targets.update(record, 1);
        }
        RequestFacts facts;
        facts.id = "request-1";
        facts.service = "service";
        facts.receivedAt = start;
        facts.callerPatience = milliseconds(10000);
        facts.route.repeatRule = rule;
        facts.route.isResumable = isResumable;
        facts.route.maxAttempts = maxAttempts;
        facts.route.timeout = milliseconds(5000);
        facts.route.targetLatency = milliseconds(600);
        facts.route.gapTarget = milliseconds(300);
        machine = machineFor(facts);
    }

    std::unique_ptr<RequestMachine> machineFor(const RequestFacts& facts)
    {
        return std::make_unique<RequestMachine>(
            facts, settings, RequestServices { &targets, &retries, &demand, &random });
    }

    RequestFlowSettings settings;
    TargetRegistry targets { {} };
    RetryBudget retries { { 0.2, 10, 10 }, { 1, 1000, 1000 } };
    DemandCounter demand;
    Random random { 20261204 };
    std::unique_ptr<RequestMachine> machine;
};

AnswerFacts good() { return { 200, true, true, false, false }; }
AnswerFacts refused() { return { 503, true, false, true, false }; }
AnswerFacts failed() { return { 500, true, true, false, false }; }

} // namespace

TEST(RequestMachine, HoldsAShortAnswerUntilItIsComplete)
{
    Bench bench(RepeatRule::Once);
    ASSERT_TRUE(find<StartAttempt>(bench.machine->start(start)));
    EXPECT_TRUE(bench.machine->handle(AnswerBegan { 1, good() }, start).empty());
    EXPECT_TRUE(bench.machine->handle(AnswerContinued { 1, "booked" }, start).empty());
    const auto actions = bench.machine->handle(AnswerEnded { 1 }, start);
    EXPECT_EQ(find<ForwardHead>(actions)->bodyBytes, 6U);
    EXPECT_EQ(forwarded(actions), "booked");
    EXPECT_TRUE(find<FinishAnswer>(actions));
    EXPECT_TRUE(bench.machine->isOver());
}

// Guards against a caller that comes back while the model is still being loaded and is refused once more.
TEST(RequestMachine, CallerComesBackAfterTheLoadOfAMissingModel)
{
    Bench bench(RepeatRule::Stream);
    RequestFacts facts = bench.machine->facts();
    facts.model = "m";
    facts.callerPatience = milliseconds(10000);
    facts.route.timeout = milliseconds(10000);
    const auto waitFor = [&](Duration loadTime) {
        facts.modelLoadTime = loadTime;
        const auto machine = bench.machineFor(facts);
        EXPECT_FALSE(find<AnswerByNode>(machine->start(start)));
        const auto actions = machine->handle(TimerFired {}, start + milliseconds(300));
        const auto* answer = find<AnswerByNode>(actions);
        EXPECT_TRUE(answer && answer->answer == OwnAnswer::NotRun);
        return answer ? answer->retryAfter.value_or(Duration(0)) : Duration(0);
    };
    EXPECT_EQ(waitFor(milliseconds(2300)), milliseconds(3800));
    // Enough of its time is left for the answer.
    EXPECT_EQ(waitFor(milliseconds(9000)), (milliseconds(10000) - milliseconds(300)) * 6 / 10);
}

// A prompt waits for an engine that has read the ones before it, but goes before its own time is over.
TEST(RequestMachine, PromptWaitsForAShareOfItsTime)
{
    Bench bench(RepeatRule::Once);
    RequestFacts facts = bench.machine->facts();
    facts.promptTokens = 1500;
    std::vector<std::unique_ptr<RequestMachine>> reading;
    for (int i = 0; i < 3; ++i) {
        reading.push_back(bench.machineFor(facts));
        ASSERT_TRUE(find<StartAttempt>(reading.back()->start(start)));
    }
    const auto next = bench.machineFor(facts);
    const auto last = bench.machineFor(facts);
    EXPECT_TRUE(next->start(start).empty());
    EXPECT_TRUE(last->start(start).empty());
    // A target that has read its prompt takes the next one.
    (void)reading[0]->handle(AnswerBegan { 1, good() }, start + milliseconds(50));
    EXPECT_TRUE(find<StartAttempt>(next->handle(TimerFired {}, start + milliseconds(60))));
    EXPECT_FALSE(find<StartAttempt>(last->handle(TimerFired {}, start + milliseconds(60))));
    const auto patience = milliseconds(240);
    EXPECT_TRUE(find<StartAttempt>(last->handle(TimerFired {}, start + patience)));
}

// A booking whose connection broke after it was sent may have run: it is neither sent again nor refused as not run.
TEST(RequestMachine, SentWorkThatRunsOnceIsNotRepeated)
{
    Bench bench(RepeatRule::Once);
    (void)bench.machine->start(start);
    const auto actions = bench.machine->handle(AttemptLost { 1, true }, start);
    EXPECT_FALSE(find<StartAttempt>(actions));
    ASSERT_TRUE(find<AnswerByNode>(actions));
    EXPECT_EQ(find<AnswerByNode>(actions)->answer, OwnAnswer::Failed);
}

TEST(RequestMachine, WorkThatWasNotSentGoesToAnotherTarget)
{
    Bench bench(RepeatRule::Once, false, 1);
    const auto first = find<StartAttempt>(bench.machine->start(start))->target.id;
    const auto actions = bench.machine->handle(AttemptLost { 1, false }, start);
    ASSERT_TRUE(find<StartAttempt>(actions));
    EXPECT_NE(find<StartAttempt>(actions)->target.id, first);
}

TEST(RequestMachine, RefusedWorkGoesToAnotherTargetWithinTheRoutesAttempts)
{
    Bench bench(RepeatRule::Once);
    (void)bench.machine->start(start);
    EXPECT_TRUE(find<StartAttempt>(bench.machine->handle(AnswerBegan { 1, refused() }, start)));
    const auto actions = bench.machine->handle(AnswerBegan { 2, refused() }, start);
    ASSERT_TRUE(find<AnswerByNode>(actions));
    EXPECT_EQ(find<AnswerByNode>(actions)->answer, OwnAnswer::NotRun);
    EXPECT_TRUE(find<AnswerByNode>(actions)->retryAfter.has_value());
}

TEST(RequestMachine, FailureOfSafeWorkIsRepeated)
{
    Bench bench(RepeatRule::Safe);
    (void)bench.machine->start(start);
    EXPECT_TRUE(find<StartAttempt>(bench.machine->handle(AnswerBegan { 1, failed() }, start)));
    // The last attempt's failure is passed on.
    (void)bench.machine->handle(AnswerBegan { 2, failed() }, start);
    EXPECT_TRUE(find<FinishAnswer>(bench.machine->handle(AnswerEnded { 2 }, start)));
}

// An answer to another request must not reach the caller.
TEST(RequestMachine, ForeignAnswerIsNotPassedOn)
{
    Bench bench(RepeatRule::Once);
    (void)bench.machine->start(start);
    auto facts = good();
    facts.isOwn = false;
    const auto actions = bench.machine->handle(AnswerBegan { 1, facts }, start);
    EXPECT_TRUE(find<CancelAttempt>(actions));
    EXPECT_EQ(find<AnswerByNode>(actions)->answer, OwnAnswer::Failed);
}

TEST(RequestMachine, SuccessWithoutReceiptIsNotPassedOn)
{
    Bench bench(RepeatRule::Safe, false, 1);
    (void)bench.machine->start(start);
    auto facts = good();
    facts.hasReceipt = false;
    EXPECT_TRUE(find<AnswerByNode>(bench.machine->handle(AnswerBegan { 1, facts }, start)));
}

// A stream that breaks within an event goes on after the last whole event, without a part of the broken one.
TEST(RequestMachine, BrokenStreamGoesOnAfterItsLastWholeEvent)
{
    Bench bench(RepeatRule::Stream, true);
    (void)bench.machine->start(start);
    EXPECT_TRUE(find<ForwardHead>(bench.machine->handle(AnswerBegan { 1, good() }, start)));
    EXPECT_EQ(forwarded(bench.machine->handle(AnswerContinued { 1, "id: 1\ndata: x\n\nid: 2\nda" }, start)),
        "id: 1\ndata: x\n\n");
    const auto actions = bench.machine->handle(AttemptLost { 1, true }, start);
    ASSERT_TRUE(find<StartAttempt>(actions));
    EXPECT_EQ(find<StartAttempt>(actions)->resumeAfter, "1");
    EXPECT_FALSE(find<ForwardHead>(bench.machine->handle(AnswerBegan { 2, good() }, start)));
    EXPECT_EQ(
        forwarded(bench.machine->handle(AnswerContinued { 2, "id: 2\ndata: y\n\n" }, start)), "id: 2\ndata: y\n\n");
    EXPECT_TRUE(find<FinishAnswer>(bench.machine->handle(AnswerEnded { 2 }, start)));
}

// An answer that breaks off must not look complete.
TEST(RequestMachine, BrokenStreamThatMayNotResumeIsBrokenOff)
{
    Bench bench(RepeatRule::Stream);
    (void)bench.machine->start(start);
    (void)bench.machine->handle(AnswerBegan { 1, good() }, start);
    (void)bench.machine->handle(AnswerContinued { 1, "id: 1\ndata: x\n\n" }, start);
    const auto actions = bench.machine->handle(AttemptLost { 1, true }, start);
    EXPECT_TRUE(find<BreakAnswer>(actions));
    EXPECT_FALSE(find<FinishAnswer>(actions));
}

TEST(RequestMachine, SilentStreamGoesOnElsewhere)
{
    Bench bench(RepeatRule::Stream, true);
    (void)bench.machine->start(start);
    (void)bench.machine->handle(AnswerBegan { 1, good() }, start);
    (void)bench.machine->handle(AnswerContinued { 1, "id: 1\ndata: x\n\n" }, start);
    const auto wake = bench.machine->wakeAt();
    ASSERT_TRUE(wake);
    EXPECT_EQ(*wake, start + milliseconds(1200));
    const auto actions = bench.machine->handle(TimerFired {}, *wake);
    EXPECT_TRUE(find<CancelAttempt>(actions));
    EXPECT_TRUE(find<StartAttempt>(actions));
}

// A target that runs a request and never answers must not cost the caller all of its time.
TEST(RequestMachine, RepeatableWorkWithoutAnAnswerGoesElsewhere)
{
    Bench bench(RepeatRule::Stream, true);
    (void)bench.machine->start(start);
    (void)bench.machine->handle(AnswerBegan { 1, good() }, start);
    EXPECT_EQ(bench.machine->wakeAt(), start + milliseconds(1440));
    const auto actions = bench.machine->handle(TimerFired {}, start + milliseconds(1440));
    EXPECT_TRUE(find<CancelAttempt>(actions));
    ASSERT_TRUE(find<StartAttempt>(actions));
    EXPECT_FALSE(find<StartAttempt>(actions)->resumeAfter);
    // The caller already has a head; the second target's is not sent again.
    EXPECT_FALSE(find<ForwardHead>(bench.machine->handle(AnswerBegan { 2, good() }, start + milliseconds(1500))));
    EXPECT_EQ(forwarded(bench.machine->handle(AnswerContinued { 2, "id: 1\ndata: x\n\n" }, start + milliseconds(1500))),
        "id: 1\ndata: x\n\n");
}

// An attempt that is slow must not be given up when no other target can take the request.
TEST(RequestMachine, SilentAttemptIsKeptWithoutAnAlternative)
{
    Bench bench(RepeatRule::Stream, true);
    const auto used = find<StartAttempt>(bench.machine->start(start))->target.id;
    for (const char* id : { "i-1", "i-2", "i-3" }) {
        if (id != used)
            bench.targets.remove(id, 2);
    }
    EXPECT_TRUE(bench.machine->handle(TimerFired {}, start + milliseconds(1440)).empty());
    EXPECT_FALSE(bench.machine->isOver());
    EXPECT_TRUE(find<ForwardHead>(bench.machine->handle(AnswerBegan { 1, good() }, start + milliseconds(1900))));
}

// A target's failure is passed on, not replaced by the node's own, when no other target can take the request.
TEST(RequestMachine, FailureIsPassedOnWithoutAnAlternative)
{
    Bench bench(RepeatRule::Safe);
    const auto used = find<StartAttempt>(bench.machine->start(start))->target.id;
    for (const char* id : { "i-1", "i-2", "i-3" }) {
        if (id != used)
            bench.targets.remove(id, 2);
    }
    (void)bench.machine->handle(AnswerBegan { 1, failed() }, start);
    EXPECT_TRUE(find<FinishAnswer>(bench.machine->handle(AnswerEnded { 1 }, start)));
}

TEST(RequestMachine, WorkThatRunsOnceWaitsForItsAnswer)
{
    Bench bench(RepeatRule::Once);
    (void)bench.machine->start(start);
    EXPECT_EQ(bench.machine->wakeAt(), start + milliseconds(5000));
}

TEST(RequestMachine, LeavingCallerEndsTheAttempt)
{
    Bench bench(RepeatRule::Safe);
    (void)bench.machine->start(start);
    EXPECT_TRUE(find<CancelAttempt>(bench.machine->handle(CallerLeft {}, start)));
    EXPECT_TRUE(bench.machine->isOver());
    EXPECT_TRUE(bench.machine->handle(AnswerBegan { 1, good() }, start).empty());
}

TEST(RequestMachine, RouteTimeoutEndsWithAFinalAnswer)
{
    Bench bench(RepeatRule::Safe, false, 1);
    (void)bench.machine->start(start);
    EXPECT_EQ(bench.machine->wakeAt(), start + milliseconds(5000));
    const auto actions = bench.machine->handle(TimerFired {}, start + milliseconds(5000));
    EXPECT_TRUE(find<CancelAttempt>(actions));
    EXPECT_EQ(find<AnswerByNode>(actions)->answer, OwnAnswer::TimedOut);
}

TEST(RequestMachine, RequestThatNoTargetTookIsRefusedEarly)
{
    Bench bench(RepeatRule::Safe);
    for (const char* id : { "i-1", "i-2", "i-3" })
        bench.targets.remove(id, 2);
    EXPECT_TRUE(bench.machine->start(start).empty());
    const auto actions = bench.machine->handle(TimerFired {}, start + milliseconds(300));
    ASSERT_TRUE(find<AnswerByNode>(actions));
    EXPECT_EQ(find<AnswerByNode>(actions)->answer, OwnAnswer::NotRun);
}

namespace {

RequestEvent randomEvent(uint32_t attempt)
{
    const auto head = *rc::gen::element(good(), refused(), failed(), AnswerFacts { 421, true, false, true, true },
        AnswerFacts { 200, false, true, false, false });
    switch (*rc::gen::inRange(0, 7)) {
    case 0:
    case 1:
        return AnswerBegan { attempt, head };
    case 2:
        return AnswerContinued { attempt, *rc::gen::element<std::string>("id: 1\ndata: x\n\n", "id: 2", "\n\n") };
    case 3:
        return AnswerEnded { attempt };
    case 4:
        return AttemptLost { attempt, *rc::gen::arbitrary<bool>() };
    case 5:
        return CallerLeft {};
    default:
        return TimerFired {};
    }
}

/// What the sequence of actions means for the caller and the targets.
struct Observed {
    uint32_t attempts { 0 };
    uint32_t ends { 0 };
    bool isRunning { false }; ///< An attempt is under way.
    bool mayHaveRun { false };
    bool isRefused { false };
};

void observe(Observed& seen, const std::vector<RequestAction>& actions)
{
    for (const auto& action : actions) {
        std::visit(Overloaded {
                       [&](const StartAttempt&) {
                           ++seen.attempts;
                           seen.isRunning = true;
                       },
                       [&](const CancelAttempt&) { seen.isRunning = false; },
                       [&](const FinishAnswer&) { ++seen.ends; },
                       [&](const BreakAnswer&) { ++seen.ends; },
                       [&](const AnswerByNode& own) {
                           ++seen.ends;
                           seen.isRefused = own.answer == OwnAnswer::NotRun;
                       },
                       [](const auto&) {},
                   },
            action);
    }
}

/// Returns whether the event leaves open, or shows, that the attempt's target worked on the request.
bool meansItMayHaveRun(const RequestEvent& event)
{
    if (const auto* lost = std::get_if<AttemptLost>(&event))
        return lost->wasSent;
    const auto* began = std::get_if<AnswerBegan>(&event);
    return began && !(began->head.isNotRun || began->head.isOtherInstance);
}

} // namespace

// Whatever happens, in whatever order: work that runs once is not sent again after it may have run, nothing is refused
// as not run that may have run, a request ends once, and its targets' counts are given back.
RC_GTEST_PROP(RequestMachineProperties, KeepsItsPromises, ())
{
    const auto rule = *rc::gen::element(RepeatRule::Once, RepeatRule::Safe, RepeatRule::Stream);
    const bool isResumable = *rc::gen::arbitrary<bool>();
    Bench bench(rule, isResumable);
    auto now = start;
    Observed seen;
    observe(seen, bench.machine->start(now));
    const auto count = *rc::gen::inRange(1, 25);
    for (int i = 0; i < count && !bench.machine->isOver(); ++i) {
        now += milliseconds(*rc::gen::inRange(0, 700));
        const auto event = randomEvent(seen.attempts);
        const auto attemptsBefore = seen.attempts;
        seen.mayHaveRun = seen.mayHaveRun || (seen.isRunning && meansItMayHaveRun(event));
        if (std::holds_alternative<AttemptLost>(event) || std::holds_alternative<AnswerEnded>(event))
            seen.isRunning = false;
        observe(seen, bench.machine->handle(event, now));
        if (seen.mayHaveRun && rule == RepeatRule::Once)
            RC_ASSERT(seen.attempts == attemptsBefore);
    }
    if (seen.isRefused)
        RC_ASSERT(!seen.mayHaveRun);
    RC_ASSERT(seen.ends <= 1);
    if (!bench.machine->isOver())
        (void)bench.machine->handle(CallerLeft {}, now);
    for (const auto& [id, load] : bench.targets.loads())
        RC_ASSERT(load.inFlight == 0);
    RC_ASSERT(!bench.machine->wakeAt().has_value());
}
