#include <Benchmarks/Soak/SoakNode.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <sstream>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>

namespace cyclamenstair {
namespace {

    using ::testing::HasSubstr;
    using ::testing::Not;

    constexpr auto timeout = std::chrono::seconds(20);

    /// Folder of a test with a script in place of the daemon, which appends its settings to a file at its start and at
    /// each SIGHUP.
    class SoakNodeTest : public ::testing::Test {
    protected:
        SoakNodeTest()
            : m_folder(std::filesystem::temp_directory_path() / ("soak-node-test-" + std::to_string(::getpid())))
        {
            std::filesystem::create_directories(m_folder);
            std::ofstream(m_folder / "daemon") << "#!/bin/sh\n"
                                                  "trap 'cat \"$2\" >> "
                    + readPath()
                    + "' HUP\n"
                      "trap 'exit 0' TERM\n"
                      "cat \"$2\" >> "
                    + readPath()
                    + "\n"
                      "while :; do sleep 0.02; done\n";
            ::chmod((m_folder / "daemon").c_str(), S_IRWXU);
        }

        ~SoakNodeTest() override { std::filesystem::remove_all(m_folder); }

        std::string readPath() const { return (m_folder / "read").string(); }

        SoakStarts starts(const std::set<std::string>& unknownKeys = {}) const
        {
            SoakStarts starts;
            starts.daemons.push_back({ (m_folder / "daemon").string(), unknownKeys });
            return starts;
        }

        /// Waits until the script has read a text, and returns all that it has read.
        std::string waitUntilRead(const std::string& text) const
        {
            const auto end = monotonicNow() + timeout;
            while (true) {
                std::ostringstream read;
                read << std::ifstream(readPath()).rdbuf();
                if (read.str().find(text) != std::string::npos || monotonicNow() > end)
                    return read.str();
                std::this_thread::sleep_for(milliseconds(10));
            }
        }

        std::filesystem::path m_folder;
        SoakTimer m_timer;
    };

    SoakSettingsText textOf(const std::string& value)
    {
        return { "; first\n[entry]\nlisten = " + value + "\nloops = 1\n; last", "127.0.0.1:1", "127.0.0.1:2" };
    }

    // Guards against a text that the soak changes on its way to the process, and against a node without addresses.
    TEST_F(SoakNodeTest, TextIsPassedOnUnchanged)
    {
        SoakNode node("n", m_folder.string(), textOf("a"), starts(), m_timer);
        EXPECT_EQ(node.callerAddress(), "127.0.0.1:1");
        EXPECT_EQ(node.probeAddress(), "127.0.0.1:2");
        node.start();
        EXPECT_EQ(waitUntilRead("; last"), textOf("a").text);
        m_timer.stop();
    }

    // Guards against builds that are not played because they reject a key of the text.
    TEST_F(SoakNodeTest, UnknownKeysOfATextAreLeftOut)
    {
        SoakNode node("n", m_folder.string(), textOf("a"), starts({ "loops" }), m_timer);
        node.start();
        EXPECT_EQ(waitUntilRead("; last"), "; first\n[entry]\nlisten = a\n; last");
        m_timer.stop();
    }

    // Guards against a change of the settings that does not reach the process, or that a later rewrite undoes.
    TEST_F(SoakNodeTest, SettingsAreReplaced)
    {
        SoakNode node("n", m_folder.string(), textOf("old"), starts(), m_timer);
        node.start();
        EXPECT_THAT(waitUntilRead("; last"), HasSubstr("listen = old\n"));
        node.rewriteSettings(textOf("new"), false, {});
        node.signal(SIGHUP);
        EXPECT_EQ(waitUntilRead("listen = new"), textOf("old").text + textOf("new").text);
        node.rewriteSettings(true, milliseconds(0));
        node.signal(SIGHUP);
        EXPECT_THAT(waitUntilRead("# #\n"), HasSubstr("# #\n" + textOf("new").text));
        m_timer.stop();
    }

    // Guards against settings by section that are no longer written.
    TEST_F(SoakNodeTest, SectionsAreWritten)
    {
        const SoakNodeSettings settings { { "entry",
            { { "listen", "127.0.0.1:1" }, { "ready_listen", "127.0.0.1:2" }, { "later", "x" } } } };
        SoakNode node("n", m_folder.string(), settings, starts({ "later" }), m_timer);
        EXPECT_EQ(node.probeAddress(), "127.0.0.1:2");
        node.start();
        const auto read = waitUntilRead("; end of settings");
        EXPECT_THAT(read, HasSubstr("[entry]\nlisten = 127.0.0.1:1\nready_listen = 127.0.0.1:2\n"));
        EXPECT_THAT(read, Not(HasSubstr("later")));
        m_timer.stop();
    }

} // namespace
} // namespace cyclamenstair
