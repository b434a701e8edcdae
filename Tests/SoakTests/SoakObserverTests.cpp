#include <Benchmarks/Soak/SoakObserver.h>

#include <StandIns/ScriptedHttpServer.h>
#include <Tests/SoakTests/ScriptDaemon.h>

#include <atomic>
#include <csignal>
#include <functional>
#include <gtest/gtest.h>
#include <thread>

namespace cyclamenstair {
namespace {

    constexpr auto timeout = std::chrono::seconds(20);
    constexpr auto pollInterval = milliseconds(10);
    constexpr const char* idleCommands = "while :; do sleep 0.05; done";
    constexpr const char* busyCommands = "while :; do :; done";

    bool waitUntil(const std::function<bool()>& condition)
    {
        const auto end = monotonicNow() + timeout;
        while (!condition()) {
            if (monotonicNow() > end)
                return false;
            std::this_thread::sleep_for(pollInterval);
        }
        return true;
    }

    /// A node whose process is a script, and whose readiness probe this program answers.
    struct ObservedDaemon {
        explicit ObservedDaemon(const std::string& commands)
            : daemon(commands)
            , probes([this](const ScriptedRequest&) {
                return isReady ? "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                               : "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
            })
            , node("n", daemon.folder(), SoakSettingsText { "", "127.0.0.1:1", probes.address() }, daemon.starts(),
                  timer)
        {
        }

        ~ObservedDaemon() { timer.stop(); }

        std::atomic<bool> isReady { false };
        ScriptDaemon daemon;
        ScriptedHttpServer probes;
        SoakTimer timer;
        SoakNode node;
    };

    // Guards against a process that is taken for ready before its probe succeeds, or never.
    TEST(SoakObserver, TimeToReadinessIsMeasuredForEachStart)
    {
        ObservedDaemon observed(idleCommands);
        SoakObserver observer({ &observed.node });
        EXPECT_TRUE(observer.starts().empty());
        observed.node.start();
        ASSERT_TRUE(waitUntil([&] { return observed.probes.requests().size() >= 3; }));
        ASSERT_EQ(observer.starts().size(), 1U);
        EXPECT_FALSE(observer.starts()[0].readyAfter);
        const auto readyFrom = monotonicNow();
        observed.isReady = true;
        ASSERT_TRUE(waitUntil([&] { return observer.starts()[0].readyAfter.has_value(); }));
        auto start = observer.starts()[0];
        EXPECT_EQ(start.node, "n");
        EXPECT_EQ(start.process, observed.node.currentProcess()->id);
        EXPECT_GE(start.startedAt + *start.readyAfter, readyFrom);
        EXPECT_LE(start.startedAt + *start.readyAfter, monotonicNow());

        observed.isReady = false;
        observed.node.signal(SIGKILL);
        ASSERT_TRUE(waitUntil([&] { return !observed.node.restartIfEnded().empty(); }));
        ASSERT_TRUE(waitUntil([&] { return observer.starts().size() == 2; }));
        EXPECT_FALSE(observer.starts()[1].readyAfter);
        EXPECT_NE(observer.starts()[1].process, start.process);
        EXPECT_EQ(observer.starts()[0].readyAfter, start.readyAfter);
    }

    // Guards against a failed start that is not seen because the process never becomes ready: the time without
    // readiness grows while the process runs, and not after that.
    TEST(SoakObserver, TimeWithoutReadinessIsMeasured)
    {
        ObservedDaemon observed(idleCommands);
        SoakObserver observer({ &observed.node });
        observed.node.start();
        ASSERT_TRUE(waitUntil([&] {
            const auto starts = observer.starts();
            return !starts.empty() && starts[0].observedFor > milliseconds(200);
        }));
        observed.node.stop();
        ASSERT_TRUE(waitUntil([&] {
            observed.node.restartIfEnded();
            return observed.node.hasStopped();
        }));
        // The observer may be about to note an observation from before the end.
        std::this_thread::sleep_for(milliseconds(100));
        const auto lastSeen = observer.starts()[0].observedFor;
        std::this_thread::sleep_for(milliseconds(100));
        EXPECT_EQ(observer.starts()[0].observedFor, lastSeen);
        EXPECT_FALSE(observer.starts()[0].readyAfter);
    }

    // Guards against processor time that is not found, or that is found where there is none.
    TEST(SoakProcessorWindow, BusyAndIdleProcessesAreTold)
    {
        ObservedDaemon idle("read unused < never");
        ObservedDaemon busy(busyCommands);
        // The script waits for a writer that never comes.
        ASSERT_EQ(std::system(("mkfifo " + idle.daemon.folder() + "/never").c_str()), 0);
        idle.node.start();
        busy.node.start();
        std::this_thread::sleep_for(milliseconds(300));
        const SoakProcessorWindow window({ &idle.node, &busy.node });
        std::this_thread::sleep_for(milliseconds(500));
        const auto uses = window.uses();
        ASSERT_EQ(uses.size(), 2U);
        EXPECT_EQ(uses[0].process, idle.node.currentProcess()->id);
        EXPECT_LT(uses[0].share, 0.05);
        EXPECT_GT(uses[1].share, 0.05);
        EXPECT_LT(uses[1].share, 1.1);
    }

    // Guards against processes that are taken for idle because they were frozen, or ended and started again.
    TEST(SoakProcessorWindow, DisturbedNodesAreLeftOut)
    {
        ObservedDaemon frozen(busyCommands);
        ObservedDaemon ended(busyCommands);
        ObservedDaemon unstarted(busyCommands);
        frozen.node.start();
        ended.node.start();
        std::this_thread::sleep_for(pollInterval);
        const SoakProcessorWindow window({ &frozen.node, &ended.node, &unstarted.node });
        EXPECT_EQ(window.uses().size(), 2U);
        frozen.node.signal(SIGSTOP);
        ended.node.signal(SIGKILL);
        ASSERT_TRUE(waitUntil([&] { return !ended.node.restartIfEnded().empty(); }));
        EXPECT_TRUE(window.uses().empty());
    }

} // namespace
} // namespace cyclamenstair
