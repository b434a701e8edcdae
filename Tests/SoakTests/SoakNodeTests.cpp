#include <Benchmarks/Soak/SoakNode.h>

#include <Tests/SoakTests/ScriptDaemon.h>

#include <csignal>
#include <fstream>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <sstream>
#include <thread>

namespace cyclamenstair {
namespace {

    using ::testing::ElementsAre;
    using ::testing::HasSubstr;
    using ::testing::Not;

    constexpr auto timeout = std::chrono::seconds(20);
    constexpr auto pollInterval = milliseconds(10);

    /// Nodes run a script that appends its settings to a file at its start and at each SIGHUP.
    class SoakNodeTest : public ::testing::Test {
    protected:
        SoakNodeTest()
            : m_daemon(std::string(readSettings) + "\nwhile :; do sleep 0.02; done", readSettings)
        {
        }

        ~SoakNodeTest() override { m_timer.stop(); }

        SoakNode createNode(const SoakSettingsSource& settings, const SoakStarts& starts)
        {
            return SoakNode("n", m_daemon.folder(), settings, starts, m_timer);
        }

        /// Waits until the script has read a text, and returns all that it has read.
        std::string waitUntilRead(const std::string& text) const
        {
            const auto end = monotonicNow() + timeout;
            while (true) {
                std::ostringstream read;
                read << std::ifstream(m_daemon.folder() + "/read").rdbuf();
                if (read.str().find(text) != std::string::npos || monotonicNow() > end)
                    return read.str();
                std::this_thread::sleep_for(pollInterval);
            }
        }

        static constexpr const char* readSettings = "cat \"$2\" >> read";

        ScriptDaemon m_daemon;
        SoakTimer m_timer;
    };

    SoakSettingsText textOf(const std::string& value)
    {
        return { "; first\n[entry]\nlisten = " + value + "\nloops = 1\n; last of " + value, "127.0.0.1:1",
            "127.0.0.1:2" };
    }

    // Guards against a text that the soak changes on its way to the process, and against a node without addresses.
    TEST_F(SoakNodeTest, TextIsPassedOnUnchanged)
    {
        auto node = createNode(textOf("a"), m_daemon.starts());
        EXPECT_EQ(node.callerAddress(), "127.0.0.1:1");
        EXPECT_EQ(node.probeAddress(), "127.0.0.1:2");
        node.start();
        EXPECT_EQ(waitUntilRead("; last of a"), textOf("a").text);
    }

    // Guards against builds that are not played because they reject a key of the text.
    TEST_F(SoakNodeTest, UnknownKeysOfATextAreLeftOut)
    {
        auto node = createNode(textOf("a"), m_daemon.starts({ "loops" }));
        node.start();
        EXPECT_EQ(waitUntilRead("; last of a"), "; first\n[entry]\nlisten = a\n; last of a");
    }

    // Guards against a change of the settings that does not reach the process, or that a later rewrite undoes.
    TEST_F(SoakNodeTest, SettingsAreReplaced)
    {
        auto node = createNode(textOf("old"), m_daemon.starts());
        node.start();
        EXPECT_EQ(waitUntilRead("; last of old"), textOf("old").text);
        node.rewriteSettings(textOf("new"), false, {});
        node.signal(SIGHUP);
        EXPECT_EQ(waitUntilRead("; last of new"), textOf("old").text + textOf("new").text);
        node.rewriteSettings(true, milliseconds(0));
        node.signal(SIGHUP);
        EXPECT_THAT(waitUntilRead("# #\n" + textOf("new").text), HasSubstr("# #\n" + textOf("new").text));
    }

    // Guards against settings by section that are no longer written.
    TEST_F(SoakNodeTest, SectionsAreWritten)
    {
        const SoakNodeSettings settings { { "entry",
            { { "listen", "127.0.0.1:1" }, { "ready_listen", "127.0.0.1:2" }, { "later", "x" } } } };
        auto node = createNode(settings, m_daemon.starts({ "later" }));
        EXPECT_EQ(node.probeAddress(), "127.0.0.1:2");
        node.start();
        const auto read = waitUntilRead("; end of settings\n");
        EXPECT_THAT(read, HasSubstr("[entry]\nlisten = 127.0.0.1:1\nready_listen = 127.0.0.1:2\n"));
        EXPECT_THAT(read, Not(HasSubstr("later")));
    }

    // Guards against processes of a node that run without the limits of its VM.
    TEST_F(SoakNodeTest, LimitsHoldForEachProcess)
    {
        auto starts = m_daemon.starts();
        starts.limits.maxResidentBytes = 1;
        auto node = createNode(textOf("a"), starts);
        const auto waitForExcess = [&] {
            const auto end = monotonicNow() + timeout;
            std::vector<std::string> excesses;
            while (excesses.empty() && monotonicNow() < end) {
                excesses = node.takeMemoryExcesses();
                std::this_thread::sleep_for(pollInterval);
            }
            return excesses;
        };
        node.start();
        EXPECT_THAT(waitForExcess(), ElementsAre(HasSubstr("n: process ")));
        EXPECT_THAT(node.takeMemoryExcesses(), ElementsAre());
        const auto first = node.currentProcess();
        ASSERT_TRUE(first);
        node.signal(SIGKILL);
        const auto end = monotonicNow() + timeout;
        while (node.restartIfEnded().empty() && monotonicNow() < end)
            std::this_thread::sleep_for(pollInterval);
        EXPECT_THAT(waitForExcess(), ElementsAre(HasSubstr("n: process ")));
        ASSERT_TRUE(node.currentProcess());
        EXPECT_NE(node.currentProcess()->id, first->id);
    }

} // namespace
} // namespace cyclamenstair
