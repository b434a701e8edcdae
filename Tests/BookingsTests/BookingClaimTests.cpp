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

    /// One record of a store that numbers its writes.
    struct Record {
        ClaimRecord record;
        int64_t revision { 0 };
    };

    /// A write that is still on its way to the store.
    struct LateWrite {
        ClaimRecord record;
        int64_t condition { 0 };
    };

    /// One attempt of a caller at a node.
    struct Attempt {
        size_t node;
        std::string incarnation;
        BookingClaim claim;
        BookingAction action;
        int64_t condition { 0 };
        bool isEnded { false };
        bool isSent { false };
    };

    /// Two nodes, one store and one service, in which a test chooses each next event.
    class World {
    public:
        void startAttempt(size_t node)
        {
            const auto token = "t" + std::to_string(m_tokens++);
            if (m_tables[node]->begin(key, token, bodyHash))
                return;
            attempts.push_back({ node, incarnation(node), BookingClaim(incarnation(node), token, bodyHash),
                BookingClaim::start(), 0, false, false });
        }

        /// Lets the process die: its memory and its attempts are lost, late writes and a sent call are not.
        void killNode(size_t node)
        {
            attempts.remove_if([&](const Attempt& attempt) { return attempt.node == node; });
            m_tables[node] = std::make_unique<ClaimTable>();
            ++m_starts[node];
        }

        void applyLateWrite(size_t index)
        {
            if (lateWrites.empty())
                return;
            const auto chosen = std::next(lateWrites.begin(), static_cast<long>(index % lateWrites.size()));
            write(chosen->record, chosen->condition);
            lateWrites.erase(chosen);
        }

        /// Carries out the attempt's action. `isLost` loses a message of the action, `isDown` makes the store
        /// unreachable, `isEffective` tells whether a lost write takes effect now or later.
        void step(Attempt& attempt, bool isDown, bool isLost, bool isEffective)
        {
            auto& table = *m_tables[attempt.node];
            const auto& token = attempt.claim.token();
            const auto claim = [&](int64_t condition) -> BookingEvent {
                if (isDown)
                    return ClaimWriteRefused {};
                attempt.condition = condition;
                if (isLost) {
                    if (isEffective)
                        write(attempt.claim.ownRecord(), condition);
                    else
                        lateWrites.push_back({ attempt.claim.ownRecord(), condition });
                    return ClaimWriteUnknown {};
                }
                if (!write(attempt.claim.ownRecord(), condition))
                    return ClaimWriteConflict {};
                return ClaimWritten { record->revision };
            };
            const auto ask = [&](const std::string& node, const std::string& asked) -> BookingEvent {
                for (size_t i = 0; i < 2; ++i) {
                    if (incarnation(i) == node && !isLost) {
                        auto [progress, answer] = m_tables[i]->query(key, asked);
                        return ClaimNodeAnswer { progress, answer };
                    }
                }
                return ClaimNodeSilent {};
            };
            const auto settle = [&](ClaimState state, const BookingAnswer& answer, int64_t revision) {
                auto end = attempt.claim.ownRecord();
                end.state = state;
                end.answer = answer;
                if (isDown || isLost)
                    lateWrites.push_back({ end, revision });
                else
                    write(end, revision);
                attempt.isEnded = true;
            };
            std::optional<BookingEvent> event;
            std::visit(Overloaded {
                           [&](const CreateClaim&) { event = claim(0); },
                           [&](const TakeOverClaim& action) { event = claim(action.revision); },
                           [&](const ReadClaim&) {
                               if (isDown)
                                   event = ClaimReadFailed {};
                               else if (record)
                                   event = ClaimRead { record->record, record->revision };
                               else
                                   event = ClaimReadAbsent {};
                           },
                           [&](const AskClaimNode& action) { event = ask(action.node, action.token); },
                           [&](const WaitForClaimNode& action) { event = ask(action.node, action.token); },
                           [&](const SendCall&) {
                               if (!table.markSending(key, token)) {
                                   event = ServiceNotRun {};
                                   return;
                               }
                               RC_ASSERT(!attempt.isSent);
                               attempt.isSent = true;
                               if (isDown && isLost) { // The service refuses the call.
                                   event = ServiceNotRun {};
                                   return;
                               }
                               ++runs;
                               if (isLost)
                                   event = ServiceUnknown {};
                               else
                                   event = ServiceAnswered { { 200, "", "run " + std::to_string(runs) } };
                           },
                           [&](const RecordAnswer& action) {
                               table.finish(key, token, action.answer);
                               answers.push_back(action.answer);
                               settle(ClaimState::Answered, action.answer, action.revision);
                           },
                           [&](const RecordUnknown& action) {
                               table.markUnknown(key, token);
                               settle(ClaimState::Unknown, {}, action.revision);
                           },
                           [&](const RecordNotRun& action) {
                               table.markNotRun(key, token);
                               settle(ClaimState::Released, {}, action.revision);
                           },
                           [&](const ReplyAnswer& action) {
                               table.finish(key, token, action.answer);
                               answers.push_back(action.answer);
                               attempt.isEnded = true;
                           },
                           [&](const ReplyNotRun& action) {
                               RC_ASSERT(!attempt.isSent);
                               RC_ASSERT(table.abandon(key, token));
                               if (action.isClaimOpen)
                                   settle(ClaimState::Released, {}, attempt.condition);
                               attempt.isEnded = true;
                           },
                           [&](const auto&) {
                               table.forget(key, token);
                               attempt.isEnded = true;
                           },
                       },
                attempt.action);
            if (event)
                attempt.action = attempt.claim.next(*event);
            else
                attempts.remove_if([](const Attempt& ended) { return ended.isEnded; });
        }

        std::optional<Record> record;
        std::list<Attempt> attempts;
        std::list<LateWrite> lateWrites;
        std::vector<BookingAnswer> answers;
        int runs { 0 };

    private:
        std::string incarnation(size_t node) const
        {
            return std::to_string(node) + "/" + std::to_string(m_starts[node]);
        }

        bool write(const ClaimRecord& claim, int64_t condition)
        {
            if ((record ? record->revision : 0) != condition)
                return false;
            record = Record { claim, ++m_revision };
            return true;
        }

        std::array<std::unique_ptr<ClaimTable>, 2> m_tables { std::make_unique<ClaimTable>(),
            std::make_unique<ClaimTable>() };
        std::array<int, 2> m_starts {};
        int m_tokens { 0 };
        int64_t m_revision { 0 };
    };

    // Guards against a second run, and against two different answers, in any order of repeats at two nodes, lost and
    // late store answers, a store that is down, lost answers of the service and of the nodes, and deaths of nodes.
    RC_GTEST_PROP(BookingClaim, runsAtMostOnce, ())
    {
        // Many short histories, because a history is decided after a few steps.
        constexpr size_t stepsOfHistory = 40;
        constexpr size_t histories = 30;
        const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(stepsOfHistory * histories,
            rc::gen::tuple(rc::gen::inRange(0, 20), rc::gen::inRange(0, 12), rc::gen::inRange(0, 100)));
        for (size_t history = 0; history < histories; ++history) {
            World world;
            for (size_t i = 0; i < stepsOfHistory; ++i) {
                const auto& [kind, fault, choice] = steps[history * stepsOfHistory + i];
                if (kind < 4)
                    world.startAttempt(static_cast<size_t>(choice % 2));
                else if (kind == 4)
                    world.killNode(static_cast<size_t>(choice % 2));
                else if (kind < 7)
                    world.applyLateWrite(static_cast<size_t>(choice));
                else if (!world.attempts.empty()) {
                    auto attempt = std::next(
                        world.attempts.begin(), static_cast<long>(static_cast<size_t>(choice) % world.attempts.size()));
                    world.step(*attempt, fault == 0 || fault == 3, fault == 1 || fault == 2 || fault == 3, fault == 1);
                }
                RC_ASSERT(world.runs <= 1);
            }
            for (const auto& answer : world.answers)
                RC_ASSERT(answer == world.answers.front());
        }
    }

    // Guards against a fleet that stays blocked after a claim whose call never ran: with all messages delivered, a
    // repeat runs the call.
    RC_GTEST_PROP(BookingClaim, aRepeatRunsAfterAnAttemptThatDidNotRun, ())
    {
        World world;
        world.startAttempt(0);
        world.step(world.attempts.front(), false, true, *rc::gen::arbitrary<bool>());
        while (!world.attempts.empty())
            world.step(world.attempts.front(), false, false, false);
        if (*rc::gen::arbitrary<bool>())
            world.applyLateWrite(*rc::gen::arbitrary<size_t>());
        world.startAttempt(1);
        while (!world.attempts.empty())
            world.step(world.attempts.front(), false, false, false);
        RC_ASSERT(world.runs == 1);
        RC_ASSERT(world.answers.size() == 1U);
    }

    template <typename Action> bool isAction(const BookingAction& action)
    {
        return std::holds_alternative<Action>(action);
    }

    TEST(BookingClaim, AnotherBodyWithTheKeyIsRefused)
    {
        BookingClaim claim("a/1", "t", bodyHash);
        claim.next(ClaimWriteConflict {});
        for (const auto state : { ClaimState::Claimed, ClaimState::Answered, ClaimState::Unknown })
            EXPECT_TRUE(isAction<ReplyOtherBody>(claim.next(ClaimRead { { state, "b/1", "u", bodyHash + 1, {} }, 3 })));
    }

    // Guards against "not run" for a claim that may have run: the claim exists and cannot be read.
    TEST(BookingClaim, UnreadableClaimIsUnknown)
    {
        BookingClaim claim("a/1", "t", bodyHash);
        claim.next(ClaimWriteConflict {});
        EXPECT_TRUE(isAction<ReplyUnknown>(claim.next(ClaimReadFailed {})));
    }

    // Guards against "not run" for a call that has an answer, when the store takes reads but no writes.
    TEST(BookingClaim, RefusedWriteStillFindsAnAnswer)
    {
        BookingClaim claim("a/1", "t", bodyHash);
        EXPECT_TRUE(isAction<ReadClaim>(claim.next(ClaimWriteRefused {})));
        EXPECT_TRUE(isAction<ReplyAnswer>(
            claim.next(ClaimRead { { ClaimState::Answered, "b/1", "u", bodyHash, { 200, "", "x" } }, 4 })));
        BookingClaim refused("a/1", "t", bodyHash);
        refused.next(ClaimWriteRefused {});
        EXPECT_TRUE(
            isAction<TakeOverClaim>(refused.next(ClaimRead { { ClaimState::Released, "b/1", "u", bodyHash, {} }, 4 })));
        EXPECT_TRUE(isAction<ReplyNotRun>(refused.next(ClaimWriteRefused {})));
    }

    // Guards against an answer that is missed because it was stored between the read and the question to a dead node.
    TEST(BookingClaim, RecordIsReadAgainAfterTheClaimsNodeIsSilent)
    {
        BookingClaim claim("a/1", "t", bodyHash);
        claim.next(ClaimWriteConflict {});
        EXPECT_TRUE(
            isAction<AskClaimNode>(claim.next(ClaimRead { { ClaimState::Claimed, "b/1", "u", bodyHash, {} }, 3 })));
        EXPECT_TRUE(isAction<ReadClaim>(claim.next(ClaimNodeSilent {})));
        EXPECT_TRUE(isAction<ReplyAnswer>(
            claim.next(ClaimRead { { ClaimState::Answered, "b/1", "u", bodyHash, { 200, "", "x" } }, 4 })));
    }

    TEST(BookingClaim, SilentNodeWithoutStoredAnswerIsUnknown)
    {
        BookingClaim claim("a/1", "t", bodyHash);
        const ClaimRead read { { ClaimState::Claimed, "b/1", "u", bodyHash, {} }, 3 };
        claim.next(ClaimWriteConflict {});
        claim.next(read);
        claim.next(ClaimNodeSilent {});
        EXPECT_TRUE(isAction<ReplyUnknown>(claim.next(read)));
    }

    // Guards against a call that is sent after the node told another one that it never will be.
    TEST(ClaimTable, TokenIsEitherSentOrGivenUp)
    {
        ClaimTable table;
        ASSERT_FALSE(table.begin(key, "t", bodyHash));
        EXPECT_EQ(table.query(key, "t").first, ClaimProgress::Running);
        EXPECT_TRUE(table.abandon(key, "t"));
        EXPECT_EQ(table.query(key, "t").first, ClaimProgress::Abandoned);
        EXPECT_FALSE(table.markSending(key, "t"));
        ASSERT_FALSE(table.begin(key, "u", bodyHash));
        EXPECT_TRUE(table.markSending(key, "u"));
        EXPECT_FALSE(table.abandon(key, "u"));
        EXPECT_EQ(table.query(key, "u").first, ClaimProgress::Running);
        EXPECT_EQ(table.query(key, "t").first, ClaimProgress::Abandoned);
    }

    // Guards against memory that grows with the number of bookings.
    TEST(ClaimTable, DropsTheOldestAnswersBeyondItsLimits)
    {
        ClaimTable table({ 2, 100, 1 });
        const auto run = [&](const std::string& token, size_t size) {
            ASSERT_FALSE(table.begin(key, token, bodyHash));
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
