#include <Cyclamenstair/Entry/EntryState.h>
#include <Cyclamenstair/Settings/SettingsReader.h>

#include <gtest/gtest.h>

#include <algorithm>

using namespace cyclamenstair;

namespace {

constexpr auto window = std::chrono::seconds(10);

/// Returns the maximum number of extra attempts in any window that all nodes together allow if every attempt fails.
/// `registeredNodes` is the node count that each node reads from the store.
int maxExtraAttemptsInWindow(int nodeCount, size_t registeredNodes)
{
    const auto settings = SettingsReader::create(
        "[entry]\nretry_ratio = 0.2\nretry_slack = 54\nretry_window_s = 10\nretry_nodes = 16\n");
    std::vector<std::unique_ptr<EntryState>> states;
    for (int i = 0; i < nodeCount; ++i) {
        states.push_back(std::make_unique<EntryState>(settings.value()));
        states.back()->setNodeCount(registeredNodes);
    }
    const TimePoint start { std::chrono::seconds(100) };
    std::vector<TimePoint> attemptTimes;
    for (auto now = start; now < start + 3 * window; now += milliseconds(100)) {
        for (const auto& state : states) {
            while (state->retries.tryAcquire("drafting", now))
                attemptTimes.push_back(now);
        }
    }
    int maxInWindow = 0;
    for (const auto windowStart : attemptTimes) {
        const auto countInWindow = std::count_if(attemptTimes.begin(), attemptTimes.end(),
            [&](TimePoint at) { return at >= windowStart && at < windowStart + window; });
        maxInWindow = std::max(maxInWindow, static_cast<int>(countInWindow));
    }
    return maxInWindow;
}

} // namespace

// Guards against nodes without a connection to each other that together exceed the platform's allowance for extra
// attempts.
TEST(EntryState, ExtraAttemptsOfAllNodesStayWithinAllowance)
{
    constexpr int slack = 54;
    EXPECT_GT(maxExtraAttemptsInWindow(9, 9), 0);
    EXPECT_LE(maxExtraAttemptsInWindow(9, 9), slack);
    EXPECT_LE(maxExtraAttemptsInWindow(16, 0), slack);
    EXPECT_LE(maxExtraAttemptsInWindow(60, 60), slack);
}
