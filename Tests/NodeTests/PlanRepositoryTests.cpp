#include <Cyclamenstair/Core/Overloaded.h>
#include <Cyclamenstair/Core/Random.h>
#include <Cyclamenstair/Node/PlanRepository.h>
#include <Cyclamenstair/Plan/ActivePlan.h>

#include <algorithm>
#include <gtest/gtest.h>
#include <thread>

namespace cyclamenstair {
namespace {

    StoreClientSettings unlimited()
    {
        StoreClientSettings settings;
        settings.callsPerSecond = 1e9;
        settings.burst = 1e9;
        return settings;
    }

    /// One user of the store with its own faults.
    struct StoreUser {
        explicit StoreUser(MemoryStore& store)
            : client(MemoryBackend(store, faults), unlimited())
            , repository(client)
        {
        }

        StoreFaults faults;
        StoreClient client;
        PlanRepository repository;
    };

    /// A plan that names its acceptance, so that a plan under a wrong head shows.
    Plan markedPlan(const std::string& acceptanceId, size_t models = 3)
    {
        Plan plan;
        for (size_t i = 0; i < models; ++i)
            plan.models.push_back({ "model-" + std::to_string(i), 1 << 20, 1, Priority::Normal, {} });
        plan.services.push_back({ acceptanceId, Priority::Normal, {}, true });
        plan.sortRows();
        return plan;
    }

    PlanAcceptance accept(PlanRepository& repository, uint64_t expected, const std::string& id, size_t models = 3)
    {
        return repository.accept({ markedPlan(id, models), expected, id, "operator", "reason", false, nullptr });
    }

    /// What an operator was told about one acceptance.
    struct Report {
        std::string id;
        PlanAcceptance answer;
    };

    // Guards against two winners of one revision, acceptances that were reported as refused and show up later, reported
    // successes that are lost, plans read in part, and followers that go back, while the store loses answers and has
    // outages.
    TEST(PlanRepository, ConcurrentOperatorsSeeOneOrderOfAcceptances)
    {
        constexpr int operators = 4;
        constexpr int attempts = 150;
        MemoryStore store;
        std::atomic<int> running { operators };
        std::vector<std::vector<Report>> reports(operators);
        std::vector<std::unique_ptr<StoreUser>> users;
        for (int index = 0; index < operators; ++index)
            users.push_back(std::make_unique<StoreUser>(store));
        std::vector<std::thread> threads;
        // Outages begin and end at any moment of an acceptance.
        threads.emplace_back([&] {
            Random random(7);
            while (running > 0) {
                users[randomIndex(random, users.size())]->faults.isUnreachable = randomIndex(random, 3) == 0;
                // Some last only for one call.
                auto& brief = users[randomIndex(random, users.size())]->faults.isUnreachable;
                const bool wasDown = brief.exchange(true);
                std::this_thread::yield();
                brief = wasDown;
                std::this_thread::sleep_for(std::chrono::microseconds(20));
            }
        });
        for (int index = 0; index < operators; ++index) {
            threads.emplace_back([&, index] {
                auto& user = *users[static_cast<size_t>(index)];
                Random random(static_cast<uint64_t>(index));
                std::shared_ptr<const Plan> known;
                for (int attempt = 0; attempt < attempts; ++attempt) {
                    user.faults.responsesToDrop = randomIndex(random, 3) == 0 ? 1 : 0;
                    auto head = user.repository.readHead();
                    while (!head) {
                        std::this_thread::sleep_for(std::chrono::microseconds(20));
                        head = user.repository.readHead();
                    }
                    const auto id = std::to_string(index) + "-" + std::to_string(attempt);
                    // Now and then a plan that differs in more rows than a delta is worth.
                    const size_t models = randomIndex(random, 6) == 0 ? 9000 : 3;
                    PlanProposal proposal { markedPlan(id, models), head->first.revision, id, "operator", "", false,
                        known };
                    auto answer = user.repository.accept(proposal);
                    // A lost answer is settled by a repeat with the same id.
                    proposal.isRepeat = true;
                    if (std::holds_alternative<PlanAcceptanceUnknown>(answer) && randomIndex(random, 2) == 0)
                        answer = user.repository.accept(proposal);
                    if (const auto* accepted = std::get_if<PlanAccepted>(&answer); accepted && accepted->plan)
                        known = std::make_shared<const Plan>(*accepted->plan);
                    reports[static_cast<size_t>(index)].push_back({ id, std::move(answer) });
                }
                --running;
            });
        }
        std::atomic<uint64_t> plansRead { 0 };
        for (int follower = 0; follower < 2; ++follower) {
            threads.emplace_back([&, follower] {
                StoreUser user(store);
                Random random(static_cast<uint64_t>(100 + follower));
                ActivePlan plans;
                uint64_t previous = 0;
                while (running > 0) {
                    user.faults.isUnreachable = randomIndex(random, 10) == 0;
                    const auto head = user.repository.readHead();
                    if (!head || head->first.revision == 0)
                        continue;
                    EXPECT_GE(head->first.revision, previous);
                    previous = head->first.revision;
                    const auto known = plans.plan();
                    auto plan = user.repository.readPlan(head->first, known.get());
                    if (!plan)
                        continue;
                    EXPECT_EQ(plan->revision, head->first.revision);
                    EXPECT_NE(plan->findService(head->first.acceptanceId), nullptr);
                    EXPECT_EQ(plan->services.size(), 1U);
                    ++plansRead;
                    plans.activateIfNewer(std::move(*plan));
                }
            });
        }
        for (auto& thread : threads)
            thread.join();
        EXPECT_GT(plansRead, 0U);

        StoreUser reader(store);
        const auto history = reader.repository.readHistory();
        ASSERT_TRUE(history);
        std::map<std::string, uint64_t> revisionById;
        for (size_t i = 0; i < history->size(); ++i) {
            EXPECT_EQ((*history)[i].revision, i + 1);
            EXPECT_TRUE(revisionById.emplace((*history)[i].acceptanceId, (*history)[i].revision).second);
            // All chunks are within the grace time, so every accepted plan is there as a whole.
            const auto plan = reader.repository.readPlan((*history)[i]);
            ASSERT_TRUE(plan) << "revision " << i + 1;
            EXPECT_NE(plan->findService((*history)[i].acceptanceId), nullptr);
        }
        EXPECT_EQ(reader.repository.readHead()->first.revision, history->size());
        size_t accepted = 0;
        for (const auto& report : reports) {
            for (const auto& [id, answer] : report) {
                std::visit(Overloaded {
                               [&, id = id](const PlanAccepted& success) {
                                   ++accepted;
                                   EXPECT_EQ(revisionById[id], success.head.revision) << id;
                               },
                               [](const PlanAcceptanceUnknown&) {},
                               [&, id = id](const auto&) { EXPECT_FALSE(revisionById.contains(id)) << id; },
                           },
                    answer);
            }
        }
        EXPECT_GT(accepted, static_cast<size_t>(attempts) / 2);
    }

    // Guards against a head that names chunks which were not written: outages of a single call hit some of them.
    TEST(PlanRepository, AnAcceptanceWithoutAllChunksNeverCounts)
    {
        MemoryStore store;
        StoreUser user(store);
        std::atomic<bool> isRunning { true };
        std::thread outages([&] {
            while (isRunning) {
                user.faults.isUnreachable = true;
                std::this_thread::sleep_for(std::chrono::microseconds(20));
                user.faults.isUnreachable = false;
                std::this_thread::sleep_for(std::chrono::microseconds(200));
            }
        });
        uint64_t revision = 0;
        for (int attempt = 0; attempt < 60; ++attempt) {
            // Plans that differ in most rows are stored as snapshots, the large ones in several chunks.
            const size_t models = attempt % 2 == 0 ? 20000 : 3;
            const auto answer = accept(user.repository, revision, std::to_string(attempt), models);
            if (const auto* accepted = std::get_if<PlanAccepted>(&answer))
                revision = accepted->head.revision;
        }
        isRunning = false;
        outages.join();
        const auto history = user.repository.readHistory();
        ASSERT_TRUE(history);
        EXPECT_GT(history->size(), 0U);
        for (const auto& head : *history) {
            const auto plan = user.repository.readPlan(head);
            ASSERT_TRUE(plan) << "revision " << head.revision;
            EXPECT_NE(plan->findService(head.acceptanceId), nullptr);
        }
    }

    // Guards against a store that fills up with chunks, deltas or history, and against chunks that are removed while a
    // slow reader may need them.
    TEST(PlanRepository, KeepsWhatReadersNeedAndNoMore)
    {
        MemoryStore store;
        StoreUser user(store);
        std::shared_ptr<const Plan> known;
        std::optional<PlanHead> firstHead;
        constexpr uint64_t acceptances = 1100;
        for (uint64_t revision = 0; revision < acceptances; ++revision) {
            const auto id = "id-" + std::to_string(revision);
            const auto answer = user.repository.accept({ markedPlan(id), revision, id, "operator", "", false, known });
            const auto* accepted = std::get_if<PlanAccepted>(&answer);
            ASSERT_TRUE(accepted && accepted->plan);
            known = std::make_shared<const Plan>(*accepted->plan);
            if (!firstHead)
                firstHead = accepted->head;
        }
        const auto head = user.repository.readHead()->first;
        EXPECT_EQ(head.snapshotRevision, 1 + 4 * PlanRepository::deltasPerSnapshot);
        EXPECT_EQ(*user.repository.readPlan(head), *known);
        EXPECT_EQ(store.range("plan/history/", true).records.size(), PlanRepository::keptHistory);
        EXPECT_EQ(store.range("plan/acceptance/", true).records.size(), PlanRepository::keptHistory);
        EXPECT_LE(store.range("plan/delta/", true).records.size(), PlanRepository::keptDeltas);

        // A reader that still holds the first head can read its snapshot until the grace time is over.
        EXPECT_TRUE(user.repository.readPlan(*firstHead));
        EXPECT_EQ(user.repository.removeUnreferenced(firstHead->acceptedAtUnixMs), 0U);
        const auto later = head.acceptedAtUnixMs + 2 * PlanRepository::unreferencedGraceMs;
        EXPECT_EQ(user.repository.removeUnreferenced(later), 4U);
        EXPECT_EQ(store.range("plan/chunk/", true).records.size(), head.chunkCount);
        EXPECT_TRUE(store.range("plan/unreferenced/", true).records.empty());
        EXPECT_EQ(*user.repository.readPlan(head), *known);
        EXPECT_FALSE(user.repository.readPlan(*firstHead));
    }

    // Guards against readers that fetch the whole plan for a small change.
    TEST(PlanRepository, ReadersFetchOnlyMissingDeltas)
    {
        MemoryStore store;
        StoreUser user(store);
        // Rows of 60 bytes and more: several chunks.
        ASSERT_TRUE(std::holds_alternative<PlanAccepted>(accept(user.repository, 0, "a", 30000)));
        EXPECT_GT(user.repository.readHead()->first.chunkCount, 1U);
        const auto base = user.repository.readPlan(user.repository.readHead()->first);
        ASSERT_TRUE(std::holds_alternative<PlanAccepted>(accept(user.repository, 1, "b", 30000)));
        const auto head = user.repository.readHead()->first;
        EXPECT_EQ(head.snapshotRevision, 1U);
        const auto before = user.client.callCounts()[StoreCallKind::Range];
        const auto plan = user.repository.readPlan(head, &*base);
        EXPECT_EQ(user.client.callCounts()[StoreCallKind::Range] - before, 1U);
        ASSERT_TRUE(plan);
        EXPECT_NE(plan->findService("b"), nullptr);

        // Without the delta the reader takes the snapshot, and a gap after it makes the plan unreadable.
        StoreTransaction removal;
        removal.mutations.emplace_back(StoreDelete { store.range("plan/delta/", true).records.front().key });
        store.transact(removal);
        EXPECT_FALSE(user.repository.readPlan(head, &*base));
        ASSERT_TRUE(std::holds_alternative<PlanAccepted>(accept(user.repository, 2, "c", 30000)));
        const auto repaired = user.repository.readHead()->first;
        EXPECT_EQ(repaired.snapshotRevision, 3U);
        EXPECT_TRUE(user.repository.readPlan(repaired, &*base));
    }

    // Guards against a repeat that is accepted a second time after others changed the plan.
    TEST(PlanRepository, RecognisesARepeatInTheHistory)
    {
        MemoryStore store;
        StoreUser user(store);
        ASSERT_TRUE(std::holds_alternative<PlanAccepted>(accept(user.repository, 0, "a")));
        ASSERT_TRUE(std::holds_alternative<PlanAccepted>(accept(user.repository, 1, "b")));
        for (const uint64_t expected : { 0, 2 }) {
            const auto repeated = accept(user.repository, expected, "a");
            const auto* accepted = std::get_if<PlanAccepted>(&repeated);
            ASSERT_TRUE(accepted);
            EXPECT_EQ(accepted->head.revision, 1U);
        }
        const auto late = accept(user.repository, 1, "c");
        ASSERT_TRUE(std::holds_alternative<PlanConflict>(late));
        EXPECT_EQ(std::get<PlanConflict>(late).winner.acceptanceId, "b");
        EXPECT_EQ(user.repository.readHead()->first.revision, 2U);
    }

    // Guards against an answer "not accepted" to a repeat whose first attempt may have succeeded.
    TEST(PlanRepository, ARepeatWithoutTheStoreStaysUnknown)
    {
        MemoryStore store;
        StoreUser user(store);
        user.faults.isUnreachable = true;
        PlanProposal proposal { markedPlan("a"), 0, "a", "operator", "", false, nullptr };
        EXPECT_TRUE(std::holds_alternative<PlanNotAccepted>(user.repository.accept(proposal)));
        proposal.isRepeat = true;
        EXPECT_TRUE(std::holds_alternative<PlanAcceptanceUnknown>(user.repository.accept(proposal)));
    }

} // namespace
} // namespace cyclamenstair
