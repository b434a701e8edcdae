#include <Cyclamenstair/Entry/EntryState.h>
#include <Cyclamenstair/Settings/SettingsReader.h>

#include <gtest/gtest.h>

#include <algorithm>

using namespace cyclamenstair;

// Nodes that cannot talk to each other must stay within the allowance of the platform together, whatever fails.
TEST(EntryState, ExtraAttemptsOfAllNodesStayWithinTheAllowance)
{
    constexpr int nodes = 16;
    constexpr double slack = 54;
    constexpr auto window = std::chrono::seconds(10);
    const auto settings = SettingsReader::create(
        "[entry]\nretry_ratio = 0.2\nretry_slack = 54\nretry_window_s = 10\nretry_nodes = 16\n");
    ASSERT_TRUE(settings);
    std::vector<std::unique_ptr<EntryState>> states;
    for (int i = 0; i < nodes; ++i)
        states.push_back(std::make_unique<EntryState>(settings.value()));
    const TimePoint start { std::chrono::seconds(100) };
    std::vector<TimePoint> taken;
    for (auto now = start; now < start + 3 * window; now += milliseconds(100)) {
        for (const auto& state : states) {
            while (state->retries.take("drafting", now))
                taken.push_back(now);
        }
    }
    EXPECT_FALSE(taken.empty());
    for (const auto from : taken) {
        const auto inWindow
            = std::count_if(taken.begin(), taken.end(), [&](TimePoint at) { return at >= from && at < from + window; });
        EXPECT_LE(static_cast<double>(inWindow), slack);
    }
}
