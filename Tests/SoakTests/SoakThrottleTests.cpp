#include <Benchmarks/Soak/ProcessorTime.h>
#include <Benchmarks/Soak/SoakThrottle.h>

#include <Tests/SoakTests/ProcessState.h>
#include <Tests/Support/ProcessFleet.h>

#include <csignal>
#include <functional>
#include <gtest/gtest.h>
#include <memory>
#include <thread>

namespace cyclamenstair {
namespace {

    constexpr auto timeout = std::chrono::seconds(20);

    /// A process that uses a whole core.
    std::unique_ptr<testing::ChildProcess> startBusyProcess()
    {
        return std::make_unique<testing::ChildProcess>(
            "/bin/sh", std::vector<std::string> { "-c", "while :; do :; done" }, "/dev/null");
    }

    bool waitUntil(const std::function<bool()>& condition)
    {
        const auto end = monotonicNow() + timeout;
        while (!condition()) {
            if (monotonicNow() > end)
                return false;
            std::this_thread::sleep_for(milliseconds(1));
        }
        return true;
    }

    Duration timeOf(const testing::ChildProcess& process)
    {
        return processorTimeOf(process.id()).value_or(Duration::zero());
    }

    bool uses(const testing::ChildProcess& process, Duration time)
    {
        const auto begin = timeOf(process);
        return waitUntil([&] { return timeOf(process) >= begin + time; });
    }

    // Guards against a process that gets more than its share, or none at all after its first allotment.
    TEST(SoakThrottle, ProcessGetsItsShare)
    {
        constexpr double share = 0.25;
        constexpr auto allotment = milliseconds(25);
        const auto process = startBusyProcess();
        SoakThrottle throttle;
        const auto begin = monotonicNow();
        const auto before = timeOf(*process);
        throttle.add(process->id(), share);
        ASSERT_TRUE(uses(*process, 10 * allotment));
        throttle.freeze(process->id());
        const auto used = timeOf(*process) - before;
        const auto periods = (monotonicNow() - begin) / ProcessorAllotment::period + 1;
        // A check that comes late is made up for later, so that one period may be used too much at a time.
        EXPECT_LE(used, periods * allotment + ProcessorAllotment::period);
    }

    // Guards against one process that takes the time of another one.
    TEST(SoakThrottle, ProcessesHaveSharesOfTheirOwn)
    {
        const auto first = startBusyProcess();
        const auto second = startBusyProcess();
        SoakThrottle throttle;
        const auto begin = monotonicNow();
        throttle.add(first->id(), 0.1);
        throttle.add(second->id(), 0.5);
        const auto firstBefore = timeOf(*first);
        const auto secondBefore = timeOf(*second);
        ASSERT_TRUE(uses(*second, milliseconds(500)));
        ASSERT_TRUE(uses(*first, milliseconds(50)));
        throttle.freeze(first->id());
        throttle.freeze(second->id());
        const auto periods = (monotonicNow() - begin) / ProcessorAllotment::period + 1;
        EXPECT_LE(timeOf(*first) - firstBefore, periods * milliseconds(10) + ProcessorAllotment::period);
        EXPECT_LE(timeOf(*second) - secondBefore, periods * milliseconds(50) + ProcessorAllotment::period);
    }

    // Guards against a process that the soak has frozen and the throttle continues with the next period, or that has no
    // limit any more once it is continued.
    TEST(SoakThrottle, FrozenProcessesStayFrozen)
    {
        const auto process = startBusyProcess();
        SoakThrottle throttle;
        throttle.add(process->id(), 0.5);
        ASSERT_TRUE(uses(*process, milliseconds(100)));
        // The throttle continues a process only if it has stopped it before.
        ASSERT_TRUE(waitUntil([&] { return isStopped(process->id()); }));
        throttle.freeze(process->id());
        const auto used = timeOf(*process);
        std::this_thread::sleep_for(5 * ProcessorAllotment::period);
        EXPECT_TRUE(isStopped(process->id()));
        EXPECT_EQ(timeOf(*process), used);
        throttle.thaw(process->id());
        EXPECT_TRUE(uses(*process, milliseconds(100)));
        EXPECT_TRUE(waitUntil([&] { return isStopped(process->id()); }));
    }

    // Guards against processes that stay stopped after the limit has ended.
    TEST(SoakThrottle, RemovedProcessesRunOn)
    {
        const auto process = startBusyProcess();
        const auto isHeld = [&] { return isStopped(process->id()); };
        {
            SoakThrottle throttle;
            throttle.add(process->id(), 0.01);
            ASSERT_TRUE(waitUntil(isHeld));
            throttle.remove(process->id());
            // With the limit, this takes longer than the timeout.
            ASSERT_TRUE(uses(*process, milliseconds(500)));
            throttle.add(process->id(), 0.01);
            ASSERT_TRUE(waitUntil(isHeld));
        }
        EXPECT_TRUE(uses(*process, milliseconds(500)));
    }

    // Guards against a throttle that fails, or stops other processes, when one of its processes has ended.
    TEST(SoakThrottle, EndsOfProcessesAreNoFailure)
    {
        auto ended = startBusyProcess();
        const auto other = startBusyProcess();
        const auto id = ended->id();
        SoakThrottle throttle;
        throttle.add(id, 0.1);
        throttle.add(other->id(), 0.5);
        ASSERT_TRUE(uses(*ended, milliseconds(20)));
        ended.reset();
        throttle.freeze(id);
        throttle.thaw(id);
        EXPECT_TRUE(uses(*other, milliseconds(150)));
        throttle.remove(id);
        EXPECT_THROW(throttle.add(id, 0.1), std::runtime_error);
        EXPECT_TRUE(uses(*other, milliseconds(100)));
    }

    // Guards against a process that cannot be told to end while it is stopped.
    TEST(SoakThrottle, StoppedProcessesCanBeTerminated)
    {
        const auto process = startBusyProcess();
        SoakThrottle throttle;
        throttle.add(process->id(), 0.05);
        ASSERT_TRUE(waitUntil([&] { return isStopped(process->id()); }));
        process->sendSignal(SIGTERM);
        EXPECT_EQ(process->wait(20000), 128 + SIGTERM);
    }

} // namespace
} // namespace cyclamenstair
