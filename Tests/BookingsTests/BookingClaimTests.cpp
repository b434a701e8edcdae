#include <Cyclamenstair/Bookings/BookingClaim.h>
#include <Cyclamenstair/Bookings/ClaimTable.h>

#include <Cyclamenstair/Core/Overloaded.h>

#include <gtest/gtest.h>
#include <list>
#include <map>
#include <rapidcheck/gtest.h>

namespace cyclamenstair {
namespace {

    const std::string key = "claim/s/k";
    constexpr uint64_t bodyHash = 7;

    /// Record in the simulated store.
    struct StoredRecord {
        ClaimRecord record;
        int64_t revision { 0 };
    };

    /// A write that has not yet reached the store.
    struct DelayedWrite {
        ClaimRecord record;
        int64_t expectedRevision { 0 };
    };

    /// One attempt of a caller to run the request through a node.
    struct Attempt {
        size_t node;
        std::string incarnation;
        BookingClaim claim;
        BookingAction action;
        int64_t expectedRevision { 0 };
        bool isEnded { false };
        bool isSent { false };
    };

    /// Simulation of two nodes, one store and one service, in which the test chooses each next event.
    class BookingSimulation {
    public:
        void startAttempt(size_t node)
        {
            const auto token = "t" + std::to_string(m_tokenCount++);
            if (m_tables[node]->tryRegister(key, token, bodyHash))
                return;
            attempts.push_back({ node, incarnation(node), BookingClaim(incarnation(node), token, bodyHash),
                BookingClaim::start(), 0, false, false });
        }

        /// Terminates a node's process: its memory and attempts are lost, but delayed writes and a sent request are
        /// not.
        void terminateNode(size_t node)
        {
            attempts.remove_if([&](const Attempt& attempt) { return attempt.node == node; });
            m_tables[node] = std::make_unique<ClaimTable>();
            ++m_startCounts[node];
        }

        void applyDelayedWrite(size_t index)
        {
            if (delayedWrites.empty())
                return;
            const auto delayedWrite = std::next(delayedWrites.begin(), static_cast<long>(index % delayedWrites.size()));
            write(delayedWrite->record, delayedWrite->expectedRevision);
            delayedWrites.erase(delayedWrite);
        }

        /// Executes the attempt's action. `isStoreUnreachable` makes calls to the store fail, `isMessageLost` loses a
        /// message of the action, and `isLostWriteApplied` says whether a lost write takes effect now rather than
        /// later.
        void step(Attempt& attempt, bool isStoreUnreachable, bool isMessageLost, bool isLostWriteApplied)
        {
            auto& table = *m_tables[attempt.node];
            const auto& token = attempt.claim.token();
            const auto writeClaim = [&](int64_t expectedRevision) -> BookingEvent {
                if (isStoreUnreachable)
                    return ClaimWriteRefused {};
                attempt.expectedRevision = expectedRevision;
                if (isMessageLost) {
                    if (isLostWriteApplied)
                        write(attempt.claim.claimedRecord(), expectedRevision);
                    else
                        delayedWrites.push_back({ attempt.claim.claimedRecord(), expectedRevision });
                    return ClaimWriteUnknown {};
                }
                if (!write(attempt.claim.claimedRecord(), expectedRevision))
                    return ClaimWriteConflict {};
                return ClaimWritten { record->revision };
            };
            const auto queryNode = [&](const std::string& node, const std::string& queriedToken) -> BookingEvent {
                for (size_t i = 0; i < 2; ++i) {
                    if (incarnation(i) == node && !isMessageLost) {
                        auto [progress, response] = m_tables[i]->query(key, queriedToken);
                        return ClaimNodeReply { progress, response };
                    }
                }
                return ClaimNodeUnresponsive {};
            };
            const auto writeFinalRecord = [&](ClaimState state, const BookingResponse& response, int64_t revision) {
                auto finalRecord = attempt.claim.claimedRecord();
                finalRecord.state = state;
                finalRecord.response = response;
                if (isStoreUnreachable || isMessageLost)
                    delayedWrites.push_back({ finalRecord, revision });
                else
                    write(finalRecord, revision);
                attempt.isEnded = true;
            };
            std::optional<BookingEvent> event;
            std::visit(Overloaded {
                           [&](const CreateClaim&) { event = writeClaim(0); },
                           [&](const TakeOverClaim& action) { event = writeClaim(action.revision); },
                           [&](const ReadClaim&) {
                               if (isStoreUnreachable)
                                   event = ClaimReadFailed {};
                               else if (record)
                                   event = ClaimRead { record->record, record->revision };
                               else
                                   event = ClaimReadAbsent {};
                           },
                           [&](const QueryClaimNode& action) { event = queryNode(action.node, action.token); },
                           [&](const WaitForClaimNode& action) { event = queryNode(action.node, action.token); },
                           [&](const SendRequest&) {
                               if (!table.tryMarkSent(key, token)) {
                                   event = RequestNotRun {};
                                   return;
                               }
                               RC_ASSERT(!attempt.isSent);
                               attempt.isSent = true;
                               if (isStoreUnreachable && isMessageLost) { // The service rejects the request.
                                   event = RequestNotRun {};
                                   return;
                               }
                               ++runCount;
                               if (isMessageLost)
                                   event = ServiceOutcomeUnknown {};
                               else
                                   event = ServiceResponded { { 200, "", "run " + std::to_string(runCount) } };
                           },
                           [&](const RecordResponse& action) {
                               table.finish(key, token, action.response);
                               responses.push_back(action.response);
                               writeFinalRecord(ClaimState::Answered, action.response, action.revision);
                           },
                           [&](const RecordUnknown& action) {
                               table.markUnknown(key, token);
                               writeFinalRecord(ClaimState::Unknown, {}, action.revision);
                           },
                           [&](const RecordNotRun& action) {
                               table.markNotRun(key, token);
                               writeFinalRecord(ClaimState::Released, {}, action.revision);
                           },
                           [&](const ReplyWithResponse& action) {
                               table.finish(key, token, action.response);
                               responses.push_back(action.response);
                               attempt.isEnded = true;
                           },
                           [&](const ReplyNotRun& action) {
                               RC_ASSERT(!attempt.isSent);
                               RC_ASSERT(table.abandon(key, token));
                               if (action.mayClaimExist)
                                   writeFinalRecord(ClaimState::Released, {}, attempt.expectedRevision);
                               attempt.isEnded = true;
                           },
                           [&](const auto&) {
                               table.removeClaim(key, token);
                               attempt.isEnded = true;
                           },
                       },
                attempt.action);
            if (event)
                attempt.action = attempt.claim.next(*event);
            else
                attempts.remove_if([](const Attempt& ended) { return ended.isEnded; });
        }

        std::optional<StoredRecord> record;
        std::list<Attempt> attempts;
        std::list<DelayedWrite> delayedWrites;
        std::vector<BookingResponse> responses;
        int runCount { 0 };

    private:
        std::string incarnation(size_t node) const
        {
            return std::to_string(node) + "/" + std::to_string(m_startCounts[node]);
        }

        bool write(const ClaimRecord& claim, int64_t expectedRevision)
        {
            if ((record ? record->revision : 0) != expectedRevision)
                return false;
            record = StoredRecord { claim, ++m_revision };
            return true;
        }

        std::array<std::unique_ptr<ClaimTable>, 2> m_tables { std::make_unique<ClaimTable>(),
            std::make_unique<ClaimTable>() };
        std::array<int, 2> m_startCounts {};
        int m_tokenCount { 0 };
        int64_t m_revision { 0 };
    };

    // Guards against a second run and against two different responses, in any order of retries through two nodes, lost
    // and delayed writes, store outages, lost responses of the service and the nodes, and terminations of nodes.
    RC_GTEST_PROP(BookingClaim, runsAtMostOnce, ())
    {
        // Many short histories, because the outcome of a history is determined after a few steps.
        constexpr size_t stepsPerHistory = 40;
        constexpr size_t historyCount = 30;
        const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(stepsPerHistory * historyCount,
            rc::gen::tuple(rc::gen::inRange(0, 20), rc::gen::inRange(0, 12), rc::gen::inRange(0, 100)));
        for (size_t history = 0; history < historyCount; ++history) {
            BookingSimulation simulation;
            for (size_t i = 0; i < stepsPerHistory; ++i) {
                const auto& [kind, fault, choice] = steps[history * stepsPerHistory + i];
                if (kind < 4)
                    simulation.startAttempt(static_cast<size_t>(choice % 2));
                else if (kind == 4)
                    simulation.terminateNode(static_cast<size_t>(choice % 2));
                else if (kind < 7)
                    simulation.applyDelayedWrite(static_cast<size_t>(choice));
                else if (!simulation.attempts.empty()) {
                    auto attempt = std::next(simulation.attempts.begin(),
                        static_cast<long>(static_cast<size_t>(choice) % simulation.attempts.size()));
                    simulation.step(
                        *attempt, fault == 0 || fault == 3, fault == 1 || fault == 2 || fault == 3, fault == 1);
                }
                RC_ASSERT(simulation.runCount <= 1);
            }
            for (const auto& response : simulation.responses)
                RC_ASSERT(response == simulation.responses.front());
        }
    }

    // Guards against a key that stays blocked after a claim whose request did not run: if all messages are delivered, a
    // retry must run the request.
    RC_GTEST_PROP(BookingClaim, retryRunsAfterAttemptThatDidNotRun, ())
    {
        BookingSimulation simulation;
        simulation.startAttempt(0);
        simulation.step(simulation.attempts.front(), false, true, *rc::gen::arbitrary<bool>());
        while (!simulation.attempts.empty())
            simulation.step(simulation.attempts.front(), false, false, false);
        if (*rc::gen::arbitrary<bool>())
            simulation.applyDelayedWrite(*rc::gen::arbitrary<size_t>());
        simulation.startAttempt(1);
        while (!simulation.attempts.empty())
            simulation.step(simulation.attempts.front(), false, false, false);
        RC_ASSERT(simulation.runCount == 1);
        RC_ASSERT(simulation.responses.size() == 1U);
    }

    template <typename Action> bool isAction(const BookingAction& action)
    {
        return std::holds_alternative<Action>(action);
    }

    // Guards against returning the response to one request for another request that reuses its key.
    TEST(BookingClaim, ReusedKeyWithAnotherBodyIsRejected)
    {
        BookingClaim claim("a/1", "t", bodyHash);
        claim.next(ClaimWriteConflict {});
        for (const auto state : { ClaimState::Claimed, ClaimState::Answered, ClaimState::Unknown })
            EXPECT_TRUE(isAction<ReplyKeyReused>(claim.next(ClaimRead { { state, "b/1", "u", bodyHash + 1, {} }, 3 })));
    }

    // Guards against reporting "not run" when a claim exists but cannot be read, so that its request may have run.
    TEST(BookingClaim, UnreadableClaimIsUnknown)
    {
        BookingClaim claim("a/1", "t", bodyHash);
        claim.next(ClaimWriteConflict {});
        EXPECT_TRUE(isAction<ReplyUnknown>(claim.next(ClaimReadFailed {})));
    }

    // Guards against reporting "not run" for a request that has a response, when the store accepts reads but no writes.
    TEST(BookingClaim, StoredResponseIsFoundAfterRefusedWrite)
    {
        BookingClaim claim("a/1", "t", bodyHash);
        EXPECT_TRUE(isAction<ReadClaim>(claim.next(ClaimWriteRefused {})));
        EXPECT_TRUE(isAction<ReplyWithResponse>(
            claim.next(ClaimRead { { ClaimState::Answered, "b/1", "u", bodyHash, { 200, "", "x" } }, 4 })));
        BookingClaim otherClaim("a/1", "t", bodyHash);
        otherClaim.next(ClaimWriteRefused {});
        EXPECT_TRUE(isAction<TakeOverClaim>(
            otherClaim.next(ClaimRead { { ClaimState::Released, "b/1", "u", bodyHash, {} }, 4 })));
        EXPECT_TRUE(isAction<ReplyNotRun>(otherClaim.next(ClaimWriteRefused {})));
    }

    // Guards against missing a response that was stored between the read and the query to a node that then terminated.
    TEST(BookingClaim, RecordIsReadAgainAfterNodeIsUnresponsive)
    {
        BookingClaim claim("a/1", "t", bodyHash);
        claim.next(ClaimWriteConflict {});
        EXPECT_TRUE(
            isAction<QueryClaimNode>(claim.next(ClaimRead { { ClaimState::Claimed, "b/1", "u", bodyHash, {} }, 3 })));
        EXPECT_TRUE(isAction<ReadClaim>(claim.next(ClaimNodeUnresponsive {})));
        EXPECT_TRUE(isAction<ReplyWithResponse>(
            claim.next(ClaimRead { { ClaimState::Answered, "b/1", "u", bodyHash, { 200, "", "x" } }, 4 })));
    }

    // Guards against endless queries, or a second run, when the claim's node is unresponsive and stored no response.
    TEST(BookingClaim, UnresponsiveNodeWithoutStoredResponseIsUnknown)
    {
        BookingClaim claim("a/1", "t", bodyHash);
        const ClaimRead read { { ClaimState::Claimed, "b/1", "u", bodyHash, {} }, 3 };
        claim.next(ClaimWriteConflict {});
        claim.next(read);
        claim.next(ClaimNodeUnresponsive {});
        EXPECT_TRUE(isAction<ReplyUnknown>(claim.next(read)));
    }

    // Guards against sending a request after the node reported to another node that its token is abandoned.
    TEST(ClaimTable, TokenIsEitherSentOrAbandoned)
    {
        ClaimTable table;
        ASSERT_FALSE(table.tryRegister(key, "t", bodyHash));
        EXPECT_EQ(table.query(key, "t").first, ClaimProgress::Running);
        EXPECT_TRUE(table.abandon(key, "t"));
        EXPECT_EQ(table.query(key, "t").first, ClaimProgress::Abandoned);
        EXPECT_FALSE(table.tryMarkSent(key, "t"));
        ASSERT_FALSE(table.tryRegister(key, "u", bodyHash));
        EXPECT_TRUE(table.tryMarkSent(key, "u"));
        EXPECT_FALSE(table.abandon(key, "u"));
        EXPECT_EQ(table.query(key, "u").first, ClaimProgress::Running);
        EXPECT_EQ(table.query(key, "t").first, ClaimProgress::Abandoned);
    }

    // Guards against memory that grows with the number of bookings.
    TEST(ClaimTable, RemovesTheOldestResponsesBeyondItsLimits)
    {
        ClaimTable table({ 2, 100, 1 });
        const auto run = [&](const std::string& token, size_t size) {
            ASSERT_FALSE(table.tryRegister(key, token, bodyHash));
            table.finish(key, token, { 200, "", std::string(size, 'x') });
        };
        run("t", 101);
        EXPECT_EQ(table.query(key, "t").first, ClaimProgress::NotKnown);
        run("u", 100);
        EXPECT_EQ(table.query(key, "u").first, ClaimProgress::Finished);
        table.abandon("other", "v");
        table.abandon("other", "w");
        EXPECT_EQ(table.query("other", "v").first, ClaimProgress::NotKnown);
        EXPECT_EQ(table.query("other", "w").first, ClaimProgress::Abandoned);
    }

} // namespace
} // namespace cyclamenstair
