#include <Cyclamenstair/Telemetry/AuditTrail.h>

#include <gtest/gtest.h>
#include <set>
#include <thread>

namespace cyclamenstair {
namespace {

    AuditEntry makeEntry(const std::string& action)
    {
        AuditEntry entry;
        entry.kind = AuditKind::Plan;
        entry.actor = "operator";
        entry.action = action;
        return entry;
    }

    // Guards against a trail that grows without bound, and against lost entries or duplicate sequence numbers when
    // several threads record at the same time.
    TEST(AuditTrail, KeepsLatestEntriesOfConcurrentWriters)
    {
        AuditTrail trail("node-1", 50);
        std::vector<std::thread> threads;
        for (int i = 0; i < 4; ++i)
            threads.emplace_back([&trail] {
                for (int count = 0; count < 25; ++count)
                    trail.record(makeEntry("accept"));
            });
        for (auto& thread : threads)
            thread.join();
        const auto entries = trail.latest(1000);
        ASSERT_EQ(entries.size(), 50U);
        for (size_t i = 0; i < entries.size(); ++i)
            EXPECT_EQ(entries[i].sequence, 100 - i);
        EXPECT_EQ(entries[0].node, "node-1");
        EXPECT_GT(entries[0].atUnixMs, 0U);
        EXPECT_EQ(trail.latest(3).size(), 3U);
    }

    // Guards against an entry that is listed twice because two peers returned it.
    TEST(AuditTrail, MergeSortsByTimeAndRemovesDuplicates)
    {
        AuditEntry older = makeEntry("early");
        older.atUnixMs = 1;
        AuditEntry newer = makeEntry("late");
        newer.atUnixMs = 2;
        const auto merged = AuditTrail::merge({ older, newer, older }, 10);
        ASSERT_EQ(merged.size(), 2U);
        EXPECT_EQ(merged[0].action, "late");
        EXPECT_EQ(AuditTrail::merge({ older, newer }, 1).size(), 1U);
    }

} // namespace
} // namespace cyclamenstair
