#include <Cyclamenstair/Core/Overloaded.h>
#include <Cyclamenstair/Core/Random.h>
#include <Cyclamenstair/Node/PlanRepository.h>
#include <Cyclamenstair/Plan/ActivePlan.h>

#include <algorithm>
#include <gtest/gtest.h>
#include <thread>

namespace cyclamenstair {
namespace {

    StoreClientSettings unlimitedCallRate()
    {
        StoreClientSettings settings;
        settings.callsPerSecond = 1e9;
        settings.burst = 1e9;
        return settings;
    }

    /// Store client with its own injected faults, and a repository that uses it.
    struct StoreUser {
        explicit StoreUser(MemoryStore& store)
            : client(MemoryBackend(store, faults), unlimitedCallRate())
            , repository(client)
        {
        }

        StoreFaults faults;
        StoreClient client;
        PlanRepository repository;
    };

    /// Returns a plan that contains its acceptance id as a service, so that a mismatch of plan and head is detected.
    Plan markedPlan(const std::string& acceptanceId, size_t models = 3)
    {
        Plan plan;
        for (size_t i = 0; i < models; ++i)
            plan.models.push_back({ "model-" + std::to_string(i), 1 << 20, 1, Priority::Normal, {} });
        plan.services.push_back({ acceptanceId, Priority::Normal, {}, true });
        plan.sortRows();
        return plan;
    }

    PlanAcceptance accept(
        PlanRepository& repository, uint64_t expectedRevision, const std::string& id, size_t models = 3)
    {
        return repository.accept(
            { markedPlan(id, models), expectedRevision, id, "operator", "reason", false, nullptr });
    }

    /// Result reported to an operator for one acceptance.
    struct AcceptanceReport {
        std::string id;
        PlanAcceptance result;
    };

    // Guards against two plans accepted as the same revision, acceptances reported as refused that take effect later,
    // reported successes that are lost, partially read plans, and readers that see revisions decrease, while responses
    // of the store are lost and the store is temporarily unavailable.
    TEST(PlanRepository, ConcurrentAcceptancesAreTotallyOrdered)
    {
        constexpr int operatorCount = 4;
        constexpr int attemptsPerOperator = 150;
        MemoryStore store;
        std::atomic<int> runningOperators { operatorCount };
        std::vector<std::vector<AcceptanceReport>> reportsByOperator(operatorCount);
        std::vector<std::unique_ptr<StoreUser>> clients;
        for (int index = 0; index < operatorCount; ++index)
            clients.push_back(std::make_unique<StoreUser>(store));
        std::vector<std::thread> threads;
        // Outages begin and end at any point during an acceptance.
        threads.emplace_back([&] {
            Random random(7);
            while (runningOperators > 0) {
                clients[randomIndex(random, clients.size())]->faults.isUnreachable = randomIndex(random, 3) == 0;
                // Some outages last for a single call.
                auto& briefOutage = clients[randomIndex(random, clients.size())]->faults.isUnreachable;
                const bool wasDown = briefOutage.exchange(true);
                std::this_thread::yield();
                briefOutage = wasDown;
                std::this_thread::sleep_for(std::chrono::microseconds(20));
            }
        });
        for (int index = 0; index < operatorCount; ++index) {
            threads.emplace_back([&, index] {
                auto& storeUser = *clients[static_cast<size_t>(index)];
                Random random(static_cast<uint64_t>(index));
                std::shared_ptr<const Plan> basePlan;
                for (int attempt = 0; attempt < attemptsPerOperator; ++attempt) {
                    storeUser.faults.responsesToDrop = randomIndex(random, 3) == 0 ? 1 : 0;
                    auto head = storeUser.repository.readHead();
                    while (!head) {
                        std::this_thread::sleep_for(std::chrono::microseconds(20));
                        head = storeUser.repository.readHead();
                    }
                    const auto id = std::to_string(index) + "-" + std::to_string(attempt);
                    // One in six plans differs in so many rows that it is stored as a snapshot instead of a delta.
                    const size_t models = randomIndex(random, 6) == 0 ? 9000 : 3;
                    PlanProposal proposal { markedPlan(id, models), head->first.revision, id, "operator", "", false,
                        basePlan };
                    auto result = storeUser.repository.accept(proposal);
                    // A retry with the same id resolves an unknown outcome.
                    proposal.isRetry = true;
                    if (std::holds_alternative<PlanAcceptanceUnknown>(result) && randomIndex(random, 2) == 0)
                        result = storeUser.repository.accept(proposal);
                    if (const auto* accepted = std::get_if<PlanAccepted>(&result); accepted && accepted->plan)
                        basePlan = std::make_shared<const Plan>(*accepted->plan);
                    reportsByOperator[static_cast<size_t>(index)].push_back({ id, std::move(result) });
                }
                --runningOperators;
            });
        }
        std::atomic<uint64_t> plansRead { 0 };
        for (int readerIndex = 0; readerIndex < 2; ++readerIndex) {
            threads.emplace_back([&, readerIndex] {
                StoreUser storeUser(store);
                Random random(static_cast<uint64_t>(100 + readerIndex));
                ActivePlan plans;
                uint64_t previousRevision = 0;
                while (runningOperators > 0) {
                    storeUser.faults.isUnreachable = randomIndex(random, 10) == 0;
                    const auto head = storeUser.repository.readHead();
                    if (!head || head->first.revision == 0)
                        continue;
                    EXPECT_GE(head->first.revision, previousRevision);
                    previousRevision = head->first.revision;
                    const auto basePlan = plans.plan();
                    auto plan = storeUser.repository.readPlan(head->first, basePlan.get());
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
            // All chunks are within the grace period, so every accepted plan can be read completely.
            const auto plan = reader.repository.readPlan((*history)[i]);
            ASSERT_TRUE(plan) << "revision " << i + 1;
            EXPECT_NE(plan->findService((*history)[i].acceptanceId), nullptr);
        }
        EXPECT_EQ(reader.repository.readHead()->first.revision, history->size());
        size_t accepted = 0;
        for (const auto& report : reportsByOperator) {
            for (const auto& [id, result] : report) {
                std::visit(Overloaded {
                               [&, id = id](const PlanAccepted& success) {
                                   ++accepted;
                                   EXPECT_EQ(revisionById[id], success.head.revision) << id;
                               },
                               [](const PlanAcceptanceUnknown&) {},
                               [&, id = id](const auto&) { EXPECT_FALSE(revisionById.contains(id)) << id; },
                           },
                    result);
            }
        }
        EXPECT_GT(accepted, static_cast<size_t>(attemptsPerOperator) / 2);
    }

    // Guards against a head that references chunks that were not written because of short store outages.
    TEST(PlanRepository, AcceptanceRequiresAllChunks)
    {
        MemoryStore store;
        StoreUser storeUser(store);
        std::atomic<bool> isRunning { true };
        std::thread outages([&] {
            while (isRunning) {
                storeUser.faults.isUnreachable = true;
                std::this_thread::sleep_for(std::chrono::microseconds(20));
                storeUser.faults.isUnreachable = false;
                std::this_thread::sleep_for(std::chrono::microseconds(200));
            }
        });
        uint64_t revision = 0;
        for (int attempt = 0; attempt < 60; ++attempt) {
            // Plans that differ in most rows are stored as snapshots; large ones consist of several chunks.
            const size_t models = attempt % 2 == 0 ? 20000 : 3;
            const auto result = accept(storeUser.repository, revision, std::to_string(attempt), models);
            if (const auto* accepted = std::get_if<PlanAccepted>(&result))
                revision = accepted->head.revision;
        }
        isRunning = false;
        outages.join();
        const auto history = storeUser.repository.readHistory();
        ASSERT_TRUE(history);
        EXPECT_GT(history->size(), 0U);
        for (const auto& head : *history) {
            const auto plan = storeUser.repository.readPlan(head);
            ASSERT_TRUE(plan) << "revision " << head.revision;
            EXPECT_NE(plan->findService(head.acceptanceId), nullptr);
        }
    }

    // Guards against unbounded growth of chunks, deltas or history in the store, and against the removal of chunks that
    // a slow reader may still need.
    TEST(PlanRepository, RetainsOnlyWhatReadersNeed)
    {
        MemoryStore store;
        StoreUser storeUser(store);
        std::shared_ptr<const Plan> basePlan;
        std::optional<PlanHead> firstHead;
        constexpr uint64_t acceptances = 1100;
        for (uint64_t revision = 0; revision < acceptances; ++revision) {
            const auto id = "id-" + std::to_string(revision);
            const auto result
                = storeUser.repository.accept({ markedPlan(id), revision, id, "operator", "", false, basePlan });
            const auto* accepted = std::get_if<PlanAccepted>(&result);
            ASSERT_TRUE(accepted && accepted->plan);
            basePlan = std::make_shared<const Plan>(*accepted->plan);
            if (!firstHead)
                firstHead = accepted->head;
        }
        const auto head = storeUser.repository.readHead()->first;
        EXPECT_EQ(head.snapshotRevision, 1 + 4 * PlanRepository::deltasPerSnapshot);
        EXPECT_EQ(*storeUser.repository.readPlan(head), *basePlan);
        EXPECT_EQ(store.range("plan/history/", true).records.size(), PlanRepository::retainedAcceptances);
        EXPECT_EQ(store.range("plan/acceptance/", true).records.size(), PlanRepository::retainedAcceptances);
        EXPECT_LE(store.range("plan/delta/", true).records.size(), PlanRepository::retainedDeltas);

        // A reader that has the first head can read its snapshot until the grace period ends.
        EXPECT_TRUE(storeUser.repository.readPlan(*firstHead));
        EXPECT_EQ(storeUser.repository.removeUnreferencedChunks(firstHead->acceptedAtUnixMs), 0U);
        const auto afterGracePeriod = head.acceptedAtUnixMs + 2 * PlanRepository::unreferencedGracePeriodMs;
        EXPECT_EQ(storeUser.repository.removeUnreferencedChunks(afterGracePeriod), 4U);
        EXPECT_EQ(store.range("plan/chunk/", true).records.size(), head.chunkCount);
        EXPECT_TRUE(store.range("plan/unreferenced/", true).records.empty());
        EXPECT_EQ(*storeUser.repository.readPlan(head), *basePlan);
        EXPECT_FALSE(storeUser.repository.readPlan(*firstHead));
    }

    // Guards against readers that read the whole plan for a small change.
    TEST(PlanRepository, ReadersFetchOnlyMissingDeltas)
    {
        MemoryStore store;
        StoreUser storeUser(store);
        // Rows take at least 60 bytes, so the snapshot consists of several chunks.
        ASSERT_TRUE(std::holds_alternative<PlanAccepted>(accept(storeUser.repository, 0, "a", 30000)));
        EXPECT_GT(storeUser.repository.readHead()->first.chunkCount, 1U);
        const auto base = storeUser.repository.readPlan(storeUser.repository.readHead()->first);
        ASSERT_TRUE(std::holds_alternative<PlanAccepted>(accept(storeUser.repository, 1, "b", 30000)));
        const auto head = storeUser.repository.readHead()->first;
        EXPECT_EQ(head.snapshotRevision, 1U);
        const auto rangeCallsBefore = storeUser.client.callCounts()[StoreCallKind::Range];
        const auto plan = storeUser.repository.readPlan(head, &*base);
        EXPECT_EQ(storeUser.client.callCounts()[StoreCallKind::Range] - rangeCallsBefore, 1U);
        ASSERT_TRUE(plan);
        EXPECT_NE(plan->findService("b"), nullptr);

        // Without the delta the reader falls back to the snapshot; the gap after it makes the plan unreadable.
        StoreTransaction removal;
        removal.mutations.emplace_back(StoreDelete { store.range("plan/delta/", true).records.front().key });
        store.transact(removal);
        EXPECT_FALSE(storeUser.repository.readPlan(head, &*base));
        ASSERT_TRUE(std::holds_alternative<PlanAccepted>(accept(storeUser.repository, 2, "c", 30000)));
        const auto repaired = storeUser.repository.readHead()->first;
        EXPECT_EQ(repaired.snapshotRevision, 3U);
        EXPECT_TRUE(storeUser.repository.readPlan(repaired, &*base));
    }

    // Guards against a retry that is accepted a second time after other operators have changed the plan.
    TEST(PlanRepository, DetectsRetryInHistory)
    {
        MemoryStore store;
        StoreUser storeUser(store);
        ASSERT_TRUE(std::holds_alternative<PlanAccepted>(accept(storeUser.repository, 0, "a")));
        ASSERT_TRUE(std::holds_alternative<PlanAccepted>(accept(storeUser.repository, 1, "b")));
        for (const uint64_t expectedRevision : { 0, 2 }) {
            const auto retried = accept(storeUser.repository, expectedRevision, "a");
            const auto* accepted = std::get_if<PlanAccepted>(&retried);
            ASSERT_TRUE(accepted);
            EXPECT_EQ(accepted->head.revision, 1U);
        }
        const auto late = accept(storeUser.repository, 1, "c");
        ASSERT_TRUE(std::holds_alternative<PlanConflict>(late));
        EXPECT_EQ(std::get<PlanConflict>(late).currentHead.acceptanceId, "b");
        EXPECT_EQ(storeUser.repository.readHead()->first.revision, 2U);
    }

    // Guards against "not accepted" being reported for a retry whose first attempt may have succeeded.
    TEST(PlanRepository, RetryIsUnknownWhileStoreIsUnavailable)
    {
        MemoryStore store;
        StoreUser storeUser(store);
        storeUser.faults.isUnreachable = true;
        PlanProposal proposal { markedPlan("a"), 0, "a", "operator", "", false, nullptr };
        EXPECT_TRUE(std::holds_alternative<PlanNotAccepted>(storeUser.repository.accept(proposal)));
        proposal.isRetry = true;
        EXPECT_TRUE(std::holds_alternative<PlanAcceptanceUnknown>(storeUser.repository.accept(proposal)));
    }

} // namespace
} // namespace cyclamenstair
