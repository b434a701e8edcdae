#include <Cyclamenstair/Core/Hash.h>
#include <Tests/RequestFlowTests/RequestMachineFixture.h>

using namespace cyclamenstair;

namespace {

/// Fixture whose third target has another software version.
struct VersionFixture : Fixture {
    VersionFixture()
        : Fixture(RetryPolicy::Stream, true, 3)
    {
        setVersion("i-1", "v1");
        setVersion("i-2", "v1");
        setVersion("i-3", "v2");
        versions.setComplete(true);
        versions.confirm(start + milliseconds(1000));
        versions.observe({ "service", "v1" }, start);
        versions.observe({ "service", "v2" }, start);
    }

    void setVersion(const std::string& id, const std::string& version)
    {
        TargetRecord record;
        record.id = id;
        record.service = "service";
        record.address = "127.0.0.1:1";
        record.slots = 4;
        record.softwareVersion = version;
        targets.update(record, ++revision);
    }

    /// Starts a stream that its caller resumes.
    std::vector<RequestAction> resume(const std::string& origin)
    {
        auto requestInfo = machine->requestInfo();
        requestInfo.resumedRequest = origin;
        machine = makeMachine(requestInfo);
        return machine->start(start);
    }

    int64_t revision { 1 };
};

/// Lets the current attempt forward an event.
void forwardEvent(RequestMachine& machine, uint32_t attempt, const std::string& id)
{
    (void)machine.handle(ResponseStarted { attempt, successResponse() }, start);
    EXPECT_FALSE(
        forwarded(machine.handle(ResponseContinued { attempt, "id: " + id + "\ndata: x\n\n" }, start)).empty());
}

} // namespace

// Guards against events of two software versions in one answer.
TEST(StreamVersion, InterruptedStreamResumesAtItsVersion)
{
    VersionFixture fixture;
    for (int i = 0; i < 20; ++i) {
        fixture.machine = fixture.makeMachine(fixture.machine->requestInfo());
        const auto begun = fixture.machine->start(start);
        const auto version = find<StartAttempt>(begun)->target.softwareVersion;
        forwardEvent(*fixture.machine, 1, "1");
        const auto actions = fixture.machine->handle(AttemptDisconnected { 1, true }, start);
        if (version == "v2") {
            EXPECT_TRUE(find<AbortResponse>(actions));
        } else {
            ASSERT_TRUE(find<StartAttempt>(actions));
            EXPECT_EQ(find<StartAttempt>(actions)->target.softwareVersion, "v1");
        }
    }
}

// Guards against a stream without events so far that is bound to the version of its first target.
TEST(StreamVersion, StreamWithoutEventsRestartsAnywhere)
{
    VersionFixture fixture;
    fixture.targets.remove("i-2", 99);
    const auto version = find<StartAttempt>(fixture.machine->start(start))->target.softwareVersion;
    (void)fixture.machine->handle(ResponseStarted { 1, successResponse() }, start);
    const auto actions = fixture.machine->handle(AttemptDisconnected { 1, true }, start);
    ASSERT_TRUE(find<StartAttempt>(actions));
    EXPECT_NE(find<StartAttempt>(actions)->target.softwareVersion, version);
}

// Guards against a stream that its caller resumes and that goes on at another version, and against one whose origin is
// not recorded for the next take-up.
TEST(StreamVersion, CallersStreamResumesAtItsVersion)
{
    VersionFixture fixture;
    const auto version = find<StartAttempt>(fixture.machine->start(start))->target.softwareVersion;
    forwardEvent(*fixture.machine, 1, "1");
    EXPECT_EQ(fixture.origins.find("request-1"), version);
    for (int i = 0; i < 20; ++i) {
        const auto actions = fixture.resume("request-1");
        ASSERT_TRUE(find<StartAttempt>(actions));
        EXPECT_EQ(find<StartAttempt>(actions)->target.softwareVersion, version);
    }
}

// Guards against a stream of unknown origin that is sent to any version, or refused before other nodes have had the
// time to tell its version.
TEST(StreamVersion, StreamOfUnknownOriginWaitsAndIsRefused)
{
    VersionFixture fixture;
    auto actions = fixture.resume("request-9");
    EXPECT_FALSE(find<StartAttempt>(actions));
    auto now = *fixture.machine->nextTimerAt();
    while (actions.empty() && now < start + std::chrono::seconds(2)) {
        actions = fixture.machine->handle(TimerFired {}, now);
        now += milliseconds(25);
    }
    ASSERT_TRUE(find<SendLocalResponse>(actions));
    EXPECT_EQ(find<SendLocalResponse>(actions)->kind, LocalResponseKind::NotRun);
    EXPECT_EQ(find<SendLocalResponse>(actions)->retryAfter, SoftwareVersions::lifetime);
    (void)fixture.resume("request-8");
    (void)fixture.origins.merge({ { stableHash("request-8"), "v2" } }, start);
    const auto later = fixture.machine->handle(TimerFired {}, *fixture.machine->nextTimerAt());
    ASSERT_TRUE(find<StartAttempt>(later));
    EXPECT_EQ(find<StartAttempt>(later)->target.id, "i-3");
}

// Guards against a Retry-After of a minute from a node that has just started and does not know the versions yet.
TEST(StreamVersion, RefusalOfANodeThatHasJustStartedIsShort)
{
    VersionFixture fixture;
    fixture.versions.setComplete(false);
    auto actions = fixture.resume("request-9");
    for (auto now = start; actions.empty() && now < start + std::chrono::seconds(2); now += milliseconds(25))
        actions = fixture.machine->handle(TimerFired {}, now);
    ASSERT_TRUE(find<SendLocalResponse>(actions));
    EXPECT_EQ(find<SendLocalResponse>(actions)->retryAfter, fixture.settings.retryAfterAbsent);
}

// Guards against refusals where all streams were begun by the same version.
TEST(StreamVersion, StreamOfUnknownOriginResumesAtASoleVersion)
{
    Fixture fixture(RetryPolicy::Stream, true);
    fixture.versions.setComplete(true);
    fixture.versions.confirm(start);
    fixture.versions.observe({ "service", "" }, start);
    auto requestInfo = fixture.machine->requestInfo();
    requestInfo.resumedRequest = "request-9";
    fixture.machine = fixture.makeMachine(requestInfo);
    EXPECT_TRUE(find<StartAttempt>(fixture.machine->start(start)));
}

// Guards against a stream that a node out of step with the others resumes at the only version it knows, and against a
// refusal where the node is in step again in time.
TEST(StreamVersion, StreamOfUnknownOriginWaitsForANodeOutOfStep)
{
    for (const bool isConfirmed : { true, false }) {
        Fixture fixture(RetryPolicy::Stream, true);
        fixture.versions.setComplete(true);
        fixture.versions.confirm(start - SoftwareVersions::confirmationLifetime);
        fixture.versions.observe({ "service", "" }, start);
        auto requestInfo = fixture.machine->requestInfo();
        requestInfo.resumedRequest = "request-9";
        fixture.machine = fixture.makeMachine(requestInfo);
        auto actions = fixture.machine->start(start);
        EXPECT_TRUE(actions.empty());
        if (isConfirmed)
            fixture.versions.confirm(start);
        for (auto now = start; actions.empty() && now < start + std::chrono::seconds(2); now += milliseconds(25))
            actions = fixture.machine->handle(TimerFired {}, now);
        EXPECT_EQ(find<StartAttempt>(actions) != nullptr, isConfirmed);
        if (isConfirmed)
            continue;
        ASSERT_TRUE(find<SendLocalResponse>(actions));
        EXPECT_EQ(find<SendLocalResponse>(actions)->kind, LocalResponseKind::NotRun);
        EXPECT_EQ(find<SendLocalResponse>(actions)->retryAfter, fixture.settings.retryAfterAbsent);
    }
}

// Guards against a stream that cannot be resumed after a restart of all nodes, because its caller got events before its
// origin was in the store, and against events that wait without a bound or get lost meanwhile.
TEST(StreamVersion, FirstEventsWaitUntilTheOriginIsWritten)
{
    const std::string first = "id: 1\ndata: x\n\n";
    const std::string second = "id: 2\ndata: y\n\n";
    for (const bool isWritten : { true, false }) {
        VersionFixture fixture;
        fixture.origins.setWritesExpected(true);
        (void)fixture.machine->start(start);
        (void)fixture.machine->handle(ResponseStarted { 1, successResponse() }, start);
        EXPECT_EQ(forwarded(fixture.machine->handle(ResponseContinued { 1, first }, start)), "");
        EXPECT_EQ(forwarded(fixture.machine->handle(ResponseContinued { 1, second }, start)), "");
        if (isWritten)
            fixture.origins.markWritten(fixture.origins.takeRecorded());
        std::string data;
        auto now = start;
        while (data.empty() && now < start + std::chrono::seconds(1)) {
            now = *fixture.machine->nextTimerAt();
            data = forwarded(fixture.machine->handle(TimerFired {}, now));
        }
        EXPECT_EQ(data, first + second);
        EXPECT_EQ(now - start, isWritten ? milliseconds(10) : milliseconds(110));
        const std::string third = "id: 3\ndata: z\n\n";
        EXPECT_EQ(forwarded(fixture.machine->handle(ResponseContinued { 1, third }, now)), third);
        EXPECT_TRUE(find<FinishResponse>(fixture.machine->handle(ResponseCompleted { 1 }, now)));
    }
}

// Guards against held events that are missing from an answer that completes or goes on at another target meanwhile.
TEST(StreamVersion, HeldEventsPrecedeTheRestOfTheAnswer)
{
    const std::string first = "id: 1\ndata: x\n\n";
    const std::string second = "id: 2\ndata: y\n\n";
    VersionFixture fixture;
    fixture.targets.remove("i-3", 99);
    fixture.origins.setWritesExpected(true);
    (void)fixture.machine->start(start);
    (void)fixture.machine->handle(ResponseStarted { 1, successResponse() }, start);
    (void)fixture.machine->handle(ResponseContinued { 1, first }, start);
    const auto actions = fixture.machine->handle(AttemptDisconnected { 1, true }, start);
    ASSERT_TRUE(find<StartAttempt>(actions));
    EXPECT_EQ(find<StartAttempt>(actions)->resumeAfter, "1");
    (void)fixture.machine->handle(ResponseStarted { 2, successResponse() }, start);
    EXPECT_EQ(forwarded(fixture.machine->handle(ResponseContinued { 2, second }, start)), "");
    const auto end = fixture.machine->handle(ResponseCompleted { 2 }, start);
    EXPECT_EQ(forwarded(end), first + second);
    EXPECT_TRUE(find<FinishResponse>(end));
}
