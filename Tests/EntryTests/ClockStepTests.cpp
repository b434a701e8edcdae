#include "NodeProcess.h"

#include <array>
#include <ctime>

namespace cyclamenstair {

namespace {

    constexpr int64_t stepSeconds = 2400;
    constexpr size_t requestsAfterStep = 10;
    constexpr auto requestInterval = milliseconds(100);

    /// Returns the times of the lines of a log that have one, in seconds since 1970.
    std::vector<int64_t> timesOf(const std::string& log)
    {
        std::vector<int64_t> times;
        std::istringstream lines(log);
        for (std::string line; std::getline(lines, line);) {
            std::tm time {};
            if (::strptime(line.c_str(), "time=%Y-%m-%dT%H:%M:%S", &time) != nullptr)
                times.push_back(::timegm(&time));
        }
        return times;
    }

    class ClockStepTest : public EntryNodeTest {
    protected:
        void shiftClock(int64_t seconds) const
        {
            std::fstream file(clockPath, std::ios::in | std::ios::out | std::ios::binary);
            if (!file.is_open())
                file.open(clockPath, std::ios::out | std::ios::binary);
            file.write(reinterpret_cast<const char*>(&seconds), sizeof(seconds));
        }

        NodeProcess node { "node-1", store.address() };
        std::string clockPath { node.folder() + "/clock" };
    };

} // namespace

// Guards against deadlines, leases, watches of the store and records of targets that a step of the time of day ends or
// holds up.
TEST_F(ClockStepTest, StepsDoNotDisturbService)
{
    shiftClock(0);
    node.start({}, "Tests/cyclamenstaird-with-shifted-clock", { { "CYCLAMENSTAIR_TEST_CLOCK", clockPath } });
    callerAddress = node.callerAddress();
    probeAddress = node.probeAddress();
    ASSERT_TRUE(eventually([&] { return probe() == 200; })) << node.log();
    firstTarget.setBehaviour(TargetBehaviour::PacedStream);
    secondTarget.setBehaviour(TargetBehaviour::PacedStream);
    int version = 1;
    int count = 0;
    for (const int64_t shift : { stepSeconds, int64_t { 0 }, -stepSeconds, int64_t { 0 } }) {
        auto stream = std::async(
            std::launch::async, [&, id = "s-" + std::to_string(++count)] { return request("/stream/x", id); });
        std::this_thread::sleep_for(2 * requestInterval);
        shiftClock(shift);
        ++version;
        store.put("op/config", catalogText(version, version % 2 == 0 ? "other" : "plain"));
        EXPECT_EQ(stream.get().body, completeStream);
        const uint32_t expected = version % 2 == 0 ? 503 : 200;
        EXPECT_TRUE(eventually([&] {
            return request("/safe/x", "c-" + std::to_string(++count)).head.status == expected;
        })) << node.log();
        for (size_t i = 0; i < requestsAfterStep; ++i) {
            EXPECT_EQ(probe(), 200U);
            EXPECT_EQ(request("/once/x", "r-" + std::to_string(++count)).head.status, 200U);
            std::this_thread::sleep_for(requestInterval);
        }
    }
    node.process().sendSignal(SIGTERM);
    EXPECT_EQ(node.process().wait(20000), 0) << node.log();
    // The steps reached the process.
    const auto times = timesOf(node.log());
    ASSERT_FALSE(times.empty());
    const auto now = static_cast<int64_t>(std::time(nullptr));
    EXPECT_GT(*std::max_element(times.begin(), times.end()), now + stepSeconds / 2);
    EXPECT_LT(*std::min_element(times.begin(), times.end()), now - stepSeconds / 2);
}

} // namespace cyclamenstair
