#include <Cyclamenstair/Entry/EntryState.h>
#include <Cyclamenstair/Settings/SettingsReader.h>

#include <gtest/gtest.h>

#include <algorithm>

using namespace cyclamenstair;

namespace {

constexpr auto window = std::chrono::seconds(10);

/// Returns the most extra attempts in any window that the nodes allow together when every attempt fails.
int mostExtraAttempts(int nodes, size_t known)
{
    const auto settings = SettingsReader::create(
        "[entry]\nretry_ratio = 0.2\nretry_slack = 54\nretry_window_s = 10\nretry_nodes = 16\n");
    std::vector<std::unique_ptr<EntryState>> states;
    for (int i = 0; i < nodes; ++i) {
        states.push_back(std::make_unique<EntryState>(settings.value()));
        states.back()->noteNodes(known);
    }
    const TimePoint start { std::chrono::seconds(100) };
    std::vector<TimePoint> taken;
    for (auto now = start; now < start + 3 * window; now += milliseconds(100)) {
        for (const auto& state : states) {
            while (state->retries.tryAcquire("drafting", now))
                taken.push_back(now);
        }
    }
    int most = 0;
    for (const auto from : taken) {
        const auto inWindow
            = std::count_if(taken.begin(), taken.end(), [&](TimePoint at) { return at >= from && at < from + window; });
        most = std::max(most, static_cast<int>(inWindow));
    }
    return most;
}

} // namespace

// Nodes that cannot talk to each other must stay within the platform's allowance together, whatever fails.
TEST(EntryState, ExtraAttemptsOfAllNodesStayWithinTheAllowance)
{
    constexpr int slack = 54;
    EXPECT_GT(mostExtraAttempts(9, 9), 0);
    EXPECT_LE(mostExtraAttempts(9, 9), slack);
    EXPECT_LE(mostExtraAttempts(16, 0), slack);
    EXPECT_LE(mostExtraAttempts(60, 60), slack);
}
