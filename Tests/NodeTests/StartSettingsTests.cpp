#include <Tests/NodeTests/StartFixture.h>

#include <csignal>
#include <filesystem>
#include <sys/stat.h>

namespace cyclamenstair::testing {
namespace {

    class StartSettings : public StartFixture { };

    // Guards against a deployed node that looks for its settings elsewhere than where the platform has written them.
    TEST_F(StartSettings, DeployedNodeReadsTheFileNamedByTheEnvironment)
    {
        const auto node = startDeployedNode();
        ASSERT_TRUE(eventually([&] { return isServing(m_probePort) || node->hasExited(); })) << log();
        EXPECT_FALSE(node->hasExited()) << log();
        EXPECT_TRUE(eventually([&] { return log().find("settings=" + settingsPath()) != std::string::npos; })) << log();
        node->sendSignal(SIGHUP);
        EXPECT_TRUE(eventually([&] { return lineCount("settings_reloaded") == 1; })) << log();
    }

    // Guards against an environment that overrides the command line, and an empty variable that is taken for a path.
    TEST_F(StartSettings, CommandLineGoesBeforeTheEnvironment)
    {
        const auto check = [&](const std::vector<std::string>& arguments, const std::string& path) {
            ChildProcess process(
                "Programs/cyclamenstaird", arguments, m_folder + "/check", { { "CYCLAMENSTAIR_SETTINGS", path } });
            return process.wait(waitTimeoutMs);
        };
        const auto missing = m_folder + "/missing.ini";
        EXPECT_EQ(check({ "--check" }, settingsPath()), 0) << log("check");
        EXPECT_EQ(check({ "--config", settingsPath(), "--check" }, missing), 0) << log("check");
        EXPECT_EQ(check({ "--config", missing, "--check" }, settingsPath()), 2) << log("check");
        EXPECT_EQ(check({ "--check" }, ""), 2) << log("check");
        EXPECT_NE(log("check").find("/etc/cyclamenstair/settings.conf"), std::string::npos) << log("check");
    }

    // Guards against a start or a reload that fails on the settings of another build.
    TEST_F(StartSettings, UnknownKeysAreIgnoredAndLogged)
    {
        writeSettings(settings() + "[log]\nlevel = Warning\n[entry]\nrelay_lisen = 127.0.0.1:1\n[later]\nkey = 1\n");
        EXPECT_EQ(checkSettings(), 2);
        const auto node = startNode();
        ASSERT_TRUE(eventually([&] { return isServing(m_probePort) || node->hasExited(); }));
        ASSERT_FALSE(node->hasExited()) << log();
        const auto lines = log();
        EXPECT_NE(
            lines.find("section=entry key=relay_lisen reason=unknown_key suggestion=relay_listen"), std::string::npos)
            << lines;
        EXPECT_NE(lines.find("section=later key=key reason=unknown_section"), std::string::npos) << lines;
        EXPECT_EQ(lineCount("settings_key_ignored"), 2U);
        writeSettings(settings() + "[later]\nkey = 1\n");
        node->sendSignal(SIGHUP);
        EXPECT_TRUE(eventually([&] { return lineCount("settings_reloaded") == 1; })) << log();
    }

    // Guards against a start that fails on a placeholder of the template for which the platform has no value.
    TEST_F(StartSettings, EmptyValuesKeepDefaultsAndAreLogged)
    {
        writeSettings(settings() + "order_gap_ms =\n[log]\nlevel = \n");
        EXPECT_EQ(checkSettings(), 2);
        const auto node = startNode();
        ASSERT_TRUE(eventually([&] { return isServing(m_probePort) || node->hasExited(); }));
        ASSERT_FALSE(node->hasExited()) << log();
        EXPECT_NE(log().find("section=control key=order_gap_ms reason=empty_value"), std::string::npos) << log();
        EXPECT_EQ(lineCount("settings_key_ignored"), 2U);
    }

    // Guards against a start that fails on a list of addresses as templates leave it, and on a host name in it.
    TEST_F(StartSettings, MalformedSeedsAreIgnoredAndLogged)
    {
        auto text = settings();
        text.insert(text.find("grace_s"), "seeds = , front-2:7400,,10.0.0.1, \n");
        writeSettings(text);
        const auto node = startNode();
        ASSERT_TRUE(eventually([&] { return isServing(m_probePort) || node->hasExited(); }));
        ASSERT_FALSE(node->hasExited()) << log();
        EXPECT_EQ(lineCount("settings_key_ignored"), 2U) << log();
    }

    // Guards against a start that fails on numbers as a platform may render them, and against values that are changed
    // without a line in the log, at a start or at SIGHUP.
    TEST_F(StartSettings, NumbersOfAnyFormAreServedWith)
    {
        auto text = settings() + "order_gap_ms = 3000.0\nmin_lease_ms = 0\n";
        text.insert(text.find("grace_s"), "retry_slack = 5.4e+01\nretry_window_s = 1e30\nmemory_mb = 260MB\n");
        writeSettings(text);
        EXPECT_EQ(checkSettings(), 2);
        const auto node = startNode("node", { "--settings-wait-s", "1" });
        ASSERT_TRUE(eventually([&] { return isServing(m_probePort) || node->hasExited(); }));
        ASSERT_FALSE(node->hasExited()) << log();
        const auto lines = log();
        EXPECT_NE(
            lines.find("section=entry key=retry_window_s reason=out_of_range value=1e30 used=3600"), std::string::npos)
            << lines;
        EXPECT_NE(lines.find("section=control key=min_lease_ms reason=out_of_range value=0 used=10"), std::string::npos)
            << lines;
        EXPECT_EQ(lineCount("settings_value_adjusted"), 2U) << lines;
        EXPECT_NE(lines.find("section=entry key=memory_mb reason=malformed_value"), std::string::npos) << lines;
        EXPECT_EQ(lineCount("settings_key_ignored"), 1U) << lines;
        writeSettings(text + "[log]\nlevel = Trace\n");
        node->sendSignal(SIGHUP);
        EXPECT_TRUE(eventually([&] { return lineCount("settings_reloaded") == 1; })) << log();
        EXPECT_EQ(lineCount("settings_value_adjusted"), 4U) << log();
        EXPECT_EQ(lineCount("settings_key_ignored"), 3U) << log();
        EXPECT_TRUE(isServing(m_probePort));
    }

    // Guards against a start, and a reload, that wait for the writer of a pipe and handle no signal meanwhile.
    TEST_F(StartSettings, PipeInPlaceOfSettingsDoesNotBlock)
    {
        std::filesystem::remove(settingsPath());
        ASSERT_EQ(::mkfifo(settingsPath().c_str(), S_IRUSR | S_IWUSR), 0);
        const auto node = startNode();
        ASSERT_TRUE(eventually([&] { return lineCount("settings_not_ready") == 1; })) << log();
        EXPECT_NE(log().find("not a regular file"), std::string::npos) << log();
        writeSettings(settings());
        ASSERT_TRUE(eventually([&] { return isServing(m_probePort) || node->hasExited(); })) << log();
        std::filesystem::remove(settingsPath());
        ASSERT_EQ(::mkfifo(settingsPath().c_str(), S_IRUSR | S_IWUSR), 0);
        node->sendSignal(SIGHUP);
        EXPECT_TRUE(eventually([&] { return lineCount("settings_not_reloaded") == 1; })) << log();
        node->sendSignal(SIGTERM);
        EXPECT_EQ(node->wait(waitTimeoutMs), 0) << log();
    }

    // Guards against a start that fails, or that is tried again without the reason, because the platform gives the
    // metrics a port that the node needs for requests.
    TEST_F(StartSettings, MetricsYieldTheirPort)
    {
        const int relayPort = allocateLoopbackPort();
        auto text = settings();
        text.insert(text.find("grace_s"),
            "metrics_listen = 127.0.0.1:" + std::to_string(relayPort)
                + "\nrelay_listen = 127.0.0.1:" + std::to_string(relayPort) + "\n");
        writeSettings(text);
        EXPECT_EQ(checkSettings(), 2);
        EXPECT_NE(log("check").find("entry.relay_listen and entry.metrics_listen"), std::string::npos) << log("check");
        const auto node = startNode("node", { "--settings-wait-s", "1" });
        ASSERT_TRUE(eventually([&] { return isServing(m_probePort) || node->hasExited(); }));
        ASSERT_FALSE(node->hasExited()) << log();
        EXPECT_NE(log().find("key=metrics_listen reason=port_in_use"), std::string::npos) << log();
        EXPECT_NE(log().find("conflicting_key=entry.relay_listen"), std::string::npos) << log();
    }

    // Guards against a start that is tried again without the reason although two listeners that the node needs have the
    // same port.
    TEST_F(StartSettings, ListenersOnSamePortAreNamed)
    {
        auto text = settings();
        const std::string probe = "ready_listen = 127.0.0.1:";
        text.replace(
            text.find(probe), (probe + std::to_string(m_probePort)).size(), probe + std::to_string(m_callerPort));
        writeSettings(text);
        EXPECT_EQ(checkSettings(), 2);
        const auto node = startNode("node", { "--settings-wait-s", "0" });
        EXPECT_EQ(node->wait(waitTimeoutMs), 2);
        EXPECT_NE(log().find("entry.listen and entry.ready_listen"), std::string::npos) << log();
    }

    // Guards against a node that starts on the default addresses, serves nobody and says nothing.
    TEST_F(StartSettings, IncompleteSettingsStartNoNode)
    {
        for (const auto* end : { "[entry]", "ready_listen", "[control]" }) {
            const auto text = settings();
            writeSettings(text.substr(0, text.find(end)));
            EXPECT_EQ(checkSettings(), 2) << log("check");
            const auto node = startNode("node", { "--settings-wait-s", "1" });
            EXPECT_EQ(node->wait(waitTimeoutMs), 2) << log();
        }
        EXPECT_EQ(lineCount("node_started"), 0U) << log();
    }

    // Guards against a start that ends because the platform has not written its settings completely yet, and against a
    // log that is filled meanwhile.
    TEST_F(StartSettings, StartWaitsForCompleteSettings)
    {
        const auto complete = settings();
        std::filesystem::remove(settingsPath());
        const auto node = startNode();
        ASSERT_TRUE(eventually([&] { return lineCount("settings_not_ready") == 1 || node->hasExited(); }));
        size_t reasons = 1;
        for (const auto& text : { std::string(), complete.substr(0, complete.find("\n[control]")),
                 complete.substr(0, complete.find("listen") + 3), "[node]\nmode = Regis" + std::string(100, '\0') }) {
            writeSettings(text);
            ++reasons;
            ASSERT_TRUE(eventually([&] { return lineCount("settings_not_ready") == reasons || node->hasExited(); }))
                << log();
            ASSERT_FALSE(node->hasExited()) << log();
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(1500));
        EXPECT_EQ(lineCount("settings_not_ready"), reasons) << log();
        writeSettings(complete);
        EXPECT_TRUE(eventually([&] { return isServing(m_probePort) || node->hasExited(); })) << log();
        EXPECT_FALSE(node->hasExited()) << log();
    }

    // Guards against a process without settings that cannot be stopped, or that waits forever.
    TEST_F(StartSettings, StartWithoutSettingsEnds)
    {
        std::filesystem::remove(settingsPath());
        const auto waiting = startNode("waiting");
        ASSERT_TRUE(eventually([&] { return log("waiting").find("settings_not_ready") != std::string::npos; }));
        waiting->sendSignal(SIGHUP);
        waiting->sendSignal(SIGTERM);
        EXPECT_EQ(waiting->wait(waitTimeoutMs), 0) << log("waiting");
        const auto node = startNode("node", { "--settings-wait-s", "1" });
        EXPECT_EQ(node->wait(waitTimeoutMs), 2) << log();
        EXPECT_NE(log().find("event=node_not_started kind=not_found step=settings.open"), std::string::npos) << log();
    }

    // Guards against a running node that takes over settings that are incomplete.
    TEST_F(StartSettings, ReloadKeepsSettingsWhileTheFileIsIncomplete)
    {
        const auto node = startNode();
        ASSERT_TRUE(eventually([&] { return isServing(m_probePort); }));
        writeSettings(settings().substr(0, settings().find("[control]")) + "[log]\nlevel = Error\n");
        node->sendSignal(SIGHUP);
        EXPECT_TRUE(eventually([&] { return lineCount("settings_not_reloaded") == 1; })) << log();
        EXPECT_TRUE(isServing(m_probePort));
        EXPECT_FALSE(node->hasExited()) << log();
    }

} // namespace
} // namespace cyclamenstair::testing
