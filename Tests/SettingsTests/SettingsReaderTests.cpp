#include <Cyclamenstair/Settings/LiveSettings.h>
#include <Cyclamenstair/Settings/SettingsReader.h>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cyclamenstair {
namespace {

    using testing::ElementsAre;
    using testing::HasSubstr;

    TEST(SettingsReader, EmptyTextGivesDefaults)
    {
        const auto settings = SettingsReader::create("");
        ASSERT_TRUE(settings) << settings.error().describe();
        EXPECT_EQ(settings.value().caller->port, 8080);
        EXPECT_EQ(settings.value().caller->address, "127.0.0.1");
        EXPECT_EQ(settings.value().routing->policy, schema::RoutingPolicyKind::Weighted);
    }

    TEST(SettingsReader, ReadsItsOwnDefaults)
    {
        const auto settings = SettingsReader::create(SettingsReader::defaultsText());
        ASSERT_TRUE(settings) << settings.error().describe();
        EXPECT_TRUE(SettingsReader::changedKeys(SettingsReader::create("").value(), settings.value()).empty());
    }

    /// A text with one error and what the message must name.
    struct BadText {
        const char* text;
        const char* expected;
    };

    class BadSettings : public testing::TestWithParam<BadText> { };

    // Guards against bad input that is accepted or reported without its line.
    TEST_P(BadSettings, AreRefusedWithLine)
    {
        const auto settings = SettingsReader::create(GetParam().text);
        ASSERT_FALSE(settings);
        EXPECT_THAT(settings.error().message, HasSubstr(GetParam().expected));
    }

    INSTANTIATE_TEST_SUITE_P(All, BadSettings,
        testing::Values(BadText { "[caller]\n\nprot = 1\n", "line 3: unknown key 'prot'" },
            BadText { "[calller]\nport = 1\n", "line 2: unknown section" },
            BadText { "[caller]\nport = 70000\n", "line 2: port: '70000' is not in the range 1 to 65535" },
            BadText { "[caller]\nport = x\n", "line 2: port: 'x' is not a number" },
            BadText { "[caller]\nport = 1\nport = 2\n", "line 3: key 'port' already stands on line 2" },
            BadText { "[routing]\npolicy = Best\n", "line 2: policy: 'Best' is not one of" },
            BadText { "[caller\nport = 1\n", "line 1" },
            BadText { "[routing]\nextra_attempt_share = nan\n", "line 2" }));

    TEST(SettingsReader, RefusesOverlongLine)
    {
        const auto settings = SettingsReader::create("[node]\nid = " + std::string(10000, 'x') + "\n");
        ASSERT_FALSE(settings);
        EXPECT_THAT(settings.error().message, HasSubstr("line 2"));
    }

    // Guards against a crash on arbitrary input.
    RC_GTEST_PROP(SettingsReader, neverThrowsOnArbitraryText, (const std::string& text))
    {
        SettingsReader::create(text);
    }

    TEST(SettingsReader, NamesChangedKeysAndTellsWhichCanBeReloaded)
    {
        const auto before = SettingsReader::create("").value();
        const auto after = SettingsReader::create("[caller]\nport = 9\n[log]\nlevel = Debug\n").value();
        EXPECT_THAT(SettingsReader::changedKeys(before, after), ElementsAre("caller.port", "log.level"));
        EXPECT_FALSE(SettingsReader::isReloadable("caller.port"));
        EXPECT_TRUE(SettingsReader::isReloadable("log.level"));
        EXPECT_FALSE(SettingsReader::isReloadable("log.unknown"));
    }

    // Guards against a reload that changes a key which only a restart can change.
    TEST(LiveSettings, ReloadAppliesOnlyReloadableKeys)
    {
        LiveSettings live(SettingsReader::create("").value());
        const auto before = live.current();
        const auto reload = live.reload(
            SettingsReader::create("[caller]\nport = 9\n[log]\nlevel = Debug\n[operator_api]\ntoken_hash = a$b\n")
                .value());
        EXPECT_THAT(reload.applied, ElementsAre("operator_api.token_hash", "log.level"));
        EXPECT_THAT(reload.needRestart, ElementsAre("caller.port"));
        EXPECT_EQ(live.current()->caller->port, 8080);
        EXPECT_EQ(live.current()->log->level, schema::LogLevel::Debug);
        EXPECT_EQ(live.current()->operator_api->token_hash, "a$b");
        EXPECT_EQ(before->log->level, schema::LogLevel::Info);
    }

} // namespace
} // namespace cyclamenstair
