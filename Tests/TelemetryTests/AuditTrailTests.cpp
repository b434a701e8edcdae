#include <Cyclamenstair/Telemetry/AuditTrail.h>

#include <gtest/gtest.h>
#include <set>
#include <thread>

namespace cyclamenstair {
namespace {

    AuditEntry change(const std::string& what)
    {
        AuditEntry entry;
        entry.kind = AuditKind::Plan;
        entry.who = "operator";
        entry.what = what;
        return entry;
    }

    // Guards against a trail that grows without bound, and against entries lost or numbered twice by threads that
    // record at the same time.
    TEST(AuditTrail, KeepsTheLastEntriesOfAllThreads)
    {
        AuditTrail trail("node-1", 50);
        std::vector<std::thread> threads;
        for (int i = 0; i < 4; ++i)
            threads.emplace_back([&trail] {
                for (int count = 0; count < 25; ++count)
                    trail.record(change("accept"));
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

    // Guards against entries shown twice because two peers answered with them.
    TEST(AuditTrail, MergesEntriesOfSeveralNodesByTime)
    {
        AuditEntry early = change("early");
        early.atUnixMs = 1;
        AuditEntry late = change("late");
        late.atUnixMs = 2;
        const auto merged = AuditTrail::merge({ early, late, early }, 10);
        ASSERT_EQ(merged.size(), 2U);
        EXPECT_EQ(merged[0].what, "late");
        EXPECT_EQ(AuditTrail::merge({ early, late }, 1).size(), 1U);
    }

} // namespace
} // namespace cyclamenstair
