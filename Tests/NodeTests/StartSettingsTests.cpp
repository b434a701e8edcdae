#include <Tests/NodeTests/StartFixture.h>

namespace cyclamenstair::testing {
namespace {

    class StartSettings : public StartFixture { };

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

    // Guards against a node that starts on the default addresses, serves nobody and says nothing.
    TEST_F(StartSettings, IncompleteSettingsStartNoNode)
    {
        for (const auto* end : { "[entry]", "ready_listen", "[control]" }) {
            const auto text = settings();
            writeSettings(text.substr(0, text.find(end)));
            EXPECT_EQ(checkSettings(), 2) << log("check");
            const auto node = startNode();
            EXPECT_EQ(node->wait(waitTimeoutMs), 2) << log();
        }
        EXPECT_EQ(lineCount("node_started"), 0U) << log();
    }

} // namespace
} // namespace cyclamenstair::testing
