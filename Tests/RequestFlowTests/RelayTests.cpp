#include "RequestMachineFixture.h"

namespace cyclamenstair {

namespace {

    /// A request at a node that reaches no target and knows two other nodes.
    struct RelayFixture : Fixture {
        explicit RelayFixture(RetryPolicy retryPolicy, bool isResumable = false, uint32_t maxAttempts = 2)
            : Fixture(retryPolicy, isResumable, maxAttempts)
        {
            relays.setPeers(knownPeers);
            for (const auto* target : { "i-1", "i-2" })
                (void)reach.recordConnectFailure(target, 3);
            restart(machine->requestInfo());
        }

        void restart(const RequestInfo& requestInfo)
        {
            machine = std::make_unique<RequestMachine>(RequestInfo(requestInfo), settings,
                RequestDependencies {
                    &targets, &retries, &demand, &random, &quarantine, &versions, &origins, &reach, &relays });
        }

        std::vector<RelayPeer> knownPeers { { "node-2", "127.0.0.1:2", "domain-1" },
            { "node-3", "127.0.0.1:3", "domain-1" } };
        RelayPeers relays { {} };
        TargetReach reach;
    };

    ResponseInfo relayedResponse()
    {
        auto head = successResponse();
        head.softwareVersion = "v2";
        return head;
    }

} // namespace

TEST(Relay, IsolatedNodeRelaysFirstTry)
{
    RelayFixture fixture(RetryPolicy::Once, false, 1);
    const auto actions = fixture.machine->start(start);
    const auto* relay = find<StartRelay>(actions);
    ASSERT_TRUE(relay);
    EXPECT_FALSE(find<StartAttempt>(actions));
    EXPECT_EQ(relay->maxAttempts, 1U);
    EXPECT_EQ(relay->remainingTime, milliseconds(5000));

    fixture.machine->handle(ResponseStarted { 1, relayedResponse() }, start);
    fixture.machine->handle(ResponseContinued { 1, "body" }, start);
    const auto end = fixture.machine->handle(ResponseCompleted { 1 }, start);
    EXPECT_EQ(forwarded(end), "body");
    EXPECT_TRUE(find<FinishResponse>(end));
}

TEST(Relay, NodeThatReachesTargetsDoesNotRelay)
{
    RelayFixture fixture(RetryPolicy::Safe);
    (void)fixture.reach.recordConnected();
    EXPECT_TRUE(find<StartAttempt>(fixture.machine->start(start)));
}

// Two nodes that have both lost their targets must not pass a request to and fro.
TEST(Relay, RelayedRequestIsNotRelayedAgain)
{
    RelayFixture fixture(RetryPolicy::Safe);
    auto requestInfo = fixture.machine->requestInfo();
    requestInfo.isRelayed = true;
    fixture.restart(requestInfo);
    const auto actions = fixture.machine->start(start);
    EXPECT_FALSE(find<StartRelay>(actions));
    EXPECT_TRUE(find<StartAttempt>(actions));
}

TEST(Relay, RequestThatIsNotAcceptedGoesThroughAnotherNode)
{
    RelayFixture fixture(RetryPolicy::Once, false, 1);
    const auto first = fixture.machine->start(start);
    const auto peer = find<StartRelay>(first)->peer.id;
    const auto second = fixture.machine->handle(
        RelayRefused { 1, peer, { RelayRefusalKind::NotAccepted, "too_many_relayed", std::nullopt } }, start);
    ASSERT_TRUE(find<StartRelay>(second));
    EXPECT_NE(find<StartRelay>(second)->peer.id, peer);
    EXPECT_EQ(find<StartRelay>(second)->maxAttempts, 1U);
}

// Nodes that do not accept a request at the moment, for example while their catalog is older, may do so a little later.
TEST(Relay, NodeThatDidNotAcceptIsTriedAgain)
{
    RelayFixture fixture(RetryPolicy::Once, false, 1);
    auto actions = fixture.machine->start(start);
    for (uint32_t attempt = 1; attempt <= 2; ++attempt) {
        ASSERT_TRUE(find<StartRelay>(actions));
        const auto peer = find<StartRelay>(actions)->peer.id;
        actions = fixture.machine->handle(
            RelayRefused { attempt, peer, { RelayRefusalKind::NotAccepted, "catalog_older", std::nullopt } }, start);
    }
    EXPECT_FALSE(find<SendLocalResponse>(actions));
    fixture.relays.setPeers({ { "node-2", "127.0.0.1:2", "domain-1" } });
    fixture.relays.setPeers({});
    fixture.relays.setPeers({ { "node-2", "127.0.0.1:2", "domain-1" } });
    EXPECT_TRUE(find<StartRelay>(fixture.machine->handle(TimerFired {}, start + milliseconds(100))));
}

// An alternative that another node does not accept must not use up the attempts of the request.
TEST(Relay, AlternativeThatIsNotAcceptedCostsNoAttempt)
{
    RelayFixture fixture(RetryPolicy::Safe);
    auto requestInfo = fixture.machine->requestInfo();
    requestInfo.route.timeout = milliseconds(9000);
    fixture.restart(requestInfo);
    (void)fixture.machine->start(start);
    const auto stalledAt = *fixture.machine->nextTimerAt();
    const auto alternative = fixture.machine->handle(TimerFired {}, stalledAt);
    ASSERT_TRUE(find<StartRelay>(alternative));
    (void)fixture.machine->handle(
        RelayRefused { 2, find<StartRelay>(alternative)->peer.id, { RelayRefusalKind::NotAccepted, "stopping", {} } },
        stalledAt);
    EXPECT_TRUE(find<StartRelay>(fixture.machine->handle(TimerFired {}, stalledAt + milliseconds(2880))));
}

// Guards against a stream that breaks off because its last attempt went to a target shortly before this node was known
// to have lost all of them.
TEST(Relay, LastAttemptAtALostTargetIsReplaced)
{
    RelayFixture fixture(RetryPolicy::Stream, true);
    (void)fixture.reach.recordConnected();
    (void)fixture.machine->start(start);
    (void)fixture.machine->handle(ResponseStarted { 1, successResponse() }, start);
    (void)fixture.machine->handle(ResponseContinued { 1, "id: 1\ndata: x\n\n" }, start);
    ASSERT_TRUE(find<StartAttempt>(fixture.machine->handle(TimerFired {}, *fixture.machine->nextTimerAt())));
    // No third attempt while this node may reach its targets.
    auto now = *fixture.machine->nextTimerAt();
    EXPECT_TRUE(fixture.machine->handle(TimerFired {}, now).empty());
    for (const auto* target : { "i-1", "i-2" })
        (void)fixture.reach.recordConnectFailure(target, 3);
    fixture.relays.setPeers({});
    now = *fixture.machine->nextTimerAt();
    EXPECT_TRUE(fixture.machine->handle(TimerFired {}, now).empty());
    fixture.relays.setPeers(fixture.knownPeers);
    now = *fixture.machine->nextTimerAt();
    EXPECT_LE(now, start + milliseconds(2000));
    const auto actions = fixture.machine->handle(TimerFired {}, now);
    ASSERT_TRUE(find<StartRelay>(actions));
    EXPECT_EQ(find<StartRelay>(actions)->maxAttempts, 1U);
    EXPECT_EQ(find<StartRelay>(actions)->resumeAfter, "1");
    ASSERT_TRUE(find<CancelAttempt>(actions));
    EXPECT_EQ(find<CancelAttempt>(actions)->attempt, 2U);
    // The relay is the last attempt.
    EXPECT_FALSE(find<StartRelay>(fixture.machine->handle(TimerFired {}, now + milliseconds(2900))));
    (void)fixture.machine->handle(ResponseStarted { 3, relayedResponse() }, now + milliseconds(2900));
    EXPECT_EQ(
        forwarded(fixture.machine->handle(ResponseContinued { 3, "id: 2\ndata: y\n\n" }, now + milliseconds(2900))),
        "id: 2\ndata: y\n\n");
}

// Guards against a request that runs at more targets than its route allows: a node that opens no new connections may
// still be connected to the targets that work for it.
TEST(Relay, LastAttemptIsKeptWhileOpenConnectionsDeliver)
{
    RelayFixture fixture(RetryPolicy::Stream, true);
    (void)fixture.reach.recordConnected();
    (void)fixture.machine->start(start);
    (void)fixture.machine->handle(ResponseStarted { 1, successResponse() }, start);
    (void)fixture.machine->handle(ResponseContinued { 1, "id: 1\ndata: x\n\n" }, start);
    ASSERT_TRUE(find<StartAttempt>(fixture.machine->handle(TimerFired {}, *fixture.machine->nextTimerAt())));
    for (const auto* target : { "i-1", "i-2" })
        (void)fixture.reach.recordConnectFailure(target, 3);
    auto now = *fixture.machine->nextTimerAt();
    fixture.reach.recordReceived(now);
    EXPECT_TRUE(fixture.machine->handle(TimerFired {}, now).empty());
    // Once these are silent, too, the target is lost.
    for (const auto silentSince = now; now < silentSince + milliseconds(1000);) {
        now = *fixture.machine->nextTimerAt();
        const bool isRelayed = find<StartRelay>(fixture.machine->handle(TimerFired {}, now)) != nullptr;
        EXPECT_EQ(isRelayed, now >= silentSince + milliseconds(1000));
        if (isRelayed)
            break;
    }
}

// Guards against a relay that is not counted although the attempt that it replaces is at a target within reach.
TEST(Relay, AttemptReplacedWhileOpenConnectionsDeliverCounts)
{
    RelayFixture fixture(RetryPolicy::Stream, true, 3);
    (void)fixture.reach.recordConnected();
    (void)fixture.machine->start(start);
    (void)fixture.machine->handle(ResponseStarted { 1, successResponse() }, start);
    (void)fixture.machine->handle(ResponseContinued { 1, "id: 1\ndata: x\n\n" }, start);
    ASSERT_TRUE(find<StartAttempt>(fixture.machine->handle(TimerFired {}, *fixture.machine->nextTimerAt())));
    for (const auto* target : { "i-1", "i-2" })
        (void)fixture.reach.recordConnectFailure(target, 3);
    const auto now = *fixture.machine->nextTimerAt();
    fixture.reach.recordReceived(now);
    const auto actions = fixture.machine->handle(TimerFired {}, now);
    ASSERT_TRUE(find<StartRelay>(actions));
    EXPECT_EQ(find<StartRelay>(actions)->maxAttempts, 1U);
}

TEST(Relay, UnreachableNodeIsReplacedAtNoCost)
{
    RelayFixture fixture(RetryPolicy::Once, false, 1);
    (void)fixture.machine->start(start);
    EXPECT_TRUE(find<StartRelay>(fixture.machine->handle(AttemptDisconnected { 1, false }, start)));
}

// Connections that are open can live on while new ones are refused.
TEST(Relay, WithoutPeersTheNodeTriesOpenConnections)
{
    RelayFixture fixture(RetryPolicy::Safe);
    fixture.relays.setIsolated({ "node-2", "node-3" });
    fixture.reach.recordReceived(start);
    EXPECT_TRUE(find<StartAttempt>(fixture.machine->start(start)));
}

// A request that cannot be served must not wait until its deadline.
TEST(Relay, WithoutPeersRequestsOfACutOffNodeAreRefusedAtOnce)
{
    RelayFixture fixture(RetryPolicy::Safe);
    fixture.relays.setIsolated({ "node-2", "node-3" });
    const auto actions = fixture.machine->start(start);
    ASSERT_TRUE(find<SendLocalResponse>(actions));
    EXPECT_EQ(find<SendLocalResponse>(actions)->kind, LocalResponseKind::NotRun);
    EXPECT_EQ(find<SendLocalResponse>(actions)->reason, "targets_unreachable");
}

// A node that does not accept a request at the moment may do so a little later.
TEST(Relay, RequestWaitsWhileNodesThatReachTargetsAreAvoided)
{
    RelayFixture fixture(RetryPolicy::Safe);
    fixture.relays.avoid("node-2", start - milliseconds(900));
    fixture.relays.avoid("node-3", start - milliseconds(900));
    EXPECT_TRUE(fixture.machine->start(start).empty());
    EXPECT_TRUE(find<StartRelay>(fixture.machine->handle(TimerFired {}, start + milliseconds(100))));
}

TEST(Relay, RefusalPassesOnWhenToComeBack)
{
    RelayFixture fixture(RetryPolicy::Once, false, 1);
    const auto peer = find<StartRelay>(fixture.machine->start(start))->peer.id;
    const auto actions = fixture.machine->handle(
        RelayRefused { 1, peer, { RelayRefusalKind::NotRun, "target_full", milliseconds(700) } }, start);
    const auto* answer = find<SendLocalResponse>(actions);
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->kind, LocalResponseKind::NotRun);
    EXPECT_EQ(answer->retryAfter, std::optional<Duration>(milliseconds(700)));
}

// A request that may have run through another node is neither sent again nor refused as not run.
TEST(Relay, LostRelayOfRequestThatRunsOnceFails)
{
    RelayFixture fixture(RetryPolicy::Once, false, 2);
    (void)fixture.machine->start(start);
    const auto actions = fixture.machine->handle(AttemptDisconnected { 1, true }, start);
    EXPECT_FALSE(find<StartRelay>(actions));
    EXPECT_FALSE(find<StartAttempt>(actions));
    ASSERT_TRUE(find<SendLocalResponse>(actions));
    EXPECT_EQ(find<SendLocalResponse>(actions)->kind, LocalResponseKind::Failed);
}

// A stream that another node began goes on after its last event, at the version of its target.
TEST(Relay, StreamGoesOnAtTheVersionThatBeganItThroughAnotherNode)
{
    RelayFixture fixture(RetryPolicy::Stream, true, 3);
    (void)fixture.machine->start(start);
    (void)fixture.machine->handle(ResponseStarted { 1, relayedResponse() }, start);
    (void)fixture.machine->handle(ResponseContinued { 1, "id: 7\ndata: x\n\n" }, start);
    const auto actions = fixture.machine->handle(AttemptDisconnected { 1, true }, start);
    const auto* relay = find<StartRelay>(actions);
    ASSERT_TRUE(relay);
    EXPECT_EQ(relay->resumeAfter, std::optional<std::string>("7"));
    EXPECT_EQ(relay->softwareVersion, std::optional<std::string>("v2"));
}

TEST(Relay, CallerThatLeavesCancelsTheRelay)
{
    RelayFixture fixture(RetryPolicy::Stream, true);
    (void)fixture.machine->start(start);
    EXPECT_TRUE(find<CancelAttempt>(fixture.machine->handle(CallerDisconnected {}, start)));
}

} // namespace cyclamenstair
