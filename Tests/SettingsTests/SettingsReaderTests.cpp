#include <Cyclamenstair/Settings/LiveSettings.h>
#include <Cyclamenstair/Settings/SettingsReader.h>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cyclamenstair {
namespace {

    using testing::ElementsAre;
    using testing::HasSubstr;

    // Guards against absent keys without a default.
    TEST(SettingsReader, EmptyTextGivesDefaults)
    {
        const auto settings = SettingsReader::create("");
        ASSERT_TRUE(settings) << settings.error().describe();
        EXPECT_EQ(settings.value().caller->port, 8080);
        EXPECT_EQ(settings.value().caller->address, "127.0.0.1");
        EXPECT_EQ(settings.value().routing->policy, schema::RoutingPolicyKind::Weighted);
    }

    // Guards against printed defaults that cannot be parsed or that differ from the defaults in use.
    TEST(SettingsReader, ParsesPrintedDefaults)
    {
        const auto settings = SettingsReader::create(SettingsReader::defaultsText());
        ASSERT_TRUE(settings) << settings.error().describe();
        EXPECT_TRUE(SettingsReader::changedKeys(SettingsReader::create("").value(), settings.value()).empty());
    }

    /// A text with one error, and part of the expected message.
    struct InvalidText {
        const char* text;
        const char* expected;
    };

    class InvalidSettings : public testing::TestWithParam<InvalidText> { };

    // Guards against invalid input that is accepted, or reported without its line.
    TEST_P(InvalidSettings, AreRejectedWithLine)
    {
        const auto settings = SettingsReader::create(GetParam().text);
        ASSERT_FALSE(settings);
        EXPECT_THAT(settings.error().message, HasSubstr(GetParam().expected));
    }

    INSTANTIATE_TEST_SUITE_P(All, InvalidSettings,
        testing::Values(InvalidText { "[caller]\n\nprot = 1\n", "line 3: unknown key 'prot'" },
            InvalidText { "[calller]\nport = 1\n", "line 2: unknown section" },
            InvalidText { "[caller]\nport = 70000\n", "line 2: port: '70000' is not in the range 1 to 65535" },
            InvalidText { "[caller]\nport = x\n", "line 2: port: 'x' is not a number" },
            InvalidText { "[caller]\nport = 1\nport = 2\n", "line 3: key 'port' is already set on line 2" },
            InvalidText { "[routing]\npolicy = Best\n", "line 2: policy: 'Best' is not one of" },
            InvalidText { "[caller\nport = 1\n", "line 1" },
            InvalidText { "[routing]\nextra_attempt_share = nan\n", "line 2" },
            InvalidText { "[node]\nid = n\xff\n", "line 2: id: the value is not valid UTF-8" }));

    // Guards against a line beyond the buffer of the INI parser that is split or truncated without an error.
    TEST(SettingsReader, RejectsOverlongLine)
    {
        const auto settings = SettingsReader::create("[node]\nid = " + std::string(10000, 'x') + "\n");
        ASSERT_FALSE(settings);
        EXPECT_THAT(settings.error().message, HasSubstr("line 2"));
    }

    // Guards against a start that fails because a node is told of more than ten others.
    TEST(SettingsReader, AcceptsLongListOfSeeds)
    {
        std::string seeds;
        for (int node = 1; node <= 300; ++node)
            seeds += (seeds.empty() ? "" : ",") + ("10.104.200." + std::to_string(node % 256)) + ":17400";
        const auto settings = SettingsReader::create("[entry]\nseeds = " + seeds + "\n");
        ASSERT_TRUE(settings) << settings.error().describe();
        EXPECT_EQ(settings.value().entry->seeds, seeds);
    }

    // Guards against crashes on arbitrary input.
    RC_GTEST_PROP(SettingsReader, neverThrowsOnArbitraryText, (const std::string& text))
    {
        SettingsReader::create(text);
        SettingsReader::createTolerant(text);
    }

    // Guards against an exception on the value of a known key, which arbitrary text hardly ever contains.
    RC_GTEST_PROP(SettingsReader, neverThrowsOnArbitraryValue, (const std::string& value))
    {
        for (const auto* line : { "[node]\nid = ", "[entry]\ncpu_share = ", "[log]\nlevel = " })
            SettingsReader::create(line + value);
    }

    // Guards against a start that fails on the settings of another build, and against an entry that is ignored
    // silently.
    TEST(SettingsReader, TolerantReaderReportsUnknownEntries)
    {
        const auto read = SettingsReader::createTolerant(
            "[caller]\nprot = 1\nsheets = 2\n[calller]\nport = 3\n[colours]\nred = 1\n[node]\nid = n-1\n"
            "[peer]\nfleet_key_file = key\n");
        ASSERT_TRUE(read) << read.error().describe();
        EXPECT_EQ(read.value().settings.caller->port, 8080);
        EXPECT_EQ(read.value().settings.node->id, "n-1");
        std::vector<std::string> entries;
        for (const auto& entry : read.value().ignored)
            entries.push_back(std::to_string(entry.line) + " " + std::string(nameOf(entry.reason)) + " " + entry.section
                + "." + entry.key + " " + entry.suggestion);
        EXPECT_THAT(entries,
            ElementsAre("2 unknown_key caller.prot port", "3 unknown_key caller.sheets ",
                "5 unknown_section calller.port caller", "7 unknown_section colours.red "));
    }

    // Guards against a start that fails on a placeholder of the template for which the platform has no value.
    TEST(SettingsReader, EmptyValuesKeepDefaults)
    {
        constexpr auto text = "[caller]\nport =\n[routing]\npolicy = \n[node]\nid =\n[peer]\nfleet_key_file = key\n";
        const auto read = SettingsReader::createTolerant(text);
        ASSERT_TRUE(read) << read.error().describe();
        EXPECT_EQ(read.value().settings.caller->port, 8080);
        EXPECT_EQ(read.value().settings.routing->policy, schema::RoutingPolicyKind::Weighted);
        EXPECT_EQ(read.value().settings.node->id, "");
        ASSERT_EQ(read.value().ignored.size(), 2U);
        for (const auto& entry : read.value().ignored)
            EXPECT_EQ(entry.reason, IgnoredSettingReason::EmptyValue);
        EXPECT_EQ(read.value().ignored[1].line, 4);
        EXPECT_THAT(SettingsReader::create(text).error().message, HasSubstr("line 2: port: '' is not a number"));
    }

    // Guards against a start that fails on a list of addresses as templates leave it, and on a host name in it.
    TEST(SettingsReader, MalformedAddressesInListAreIgnored)
    {
        const auto read = SettingsReader::createTolerant("[peer]\nfleet_key_file = key\n[entry]\n"
                                                         "seeds = , 10.0.0.1:1,,front-2:7400 ,10.0.0.2, ::1:2 ,\n");
        ASSERT_TRUE(read) << read.error().describe();
        EXPECT_EQ(read.value().settings.entry->seeds, "10.0.0.1:1,::1:2");
        ASSERT_EQ(read.value().ignored.size(), 2U);
        EXPECT_EQ(read.value().ignored[0].item, "front-2:7400");
        EXPECT_EQ(read.value().ignored[1].item, "10.0.0.2");
        EXPECT_THAT(SettingsReader::create("[entry]\nseeds = front-2:7400\n").error().message,
            HasSubstr("line 2: seeds: 'front-2:7400' is not IP:PORT"));
    }

    // Guards against a tolerant reader that accepts what no build can have meant.
    TEST(SettingsReader, TolerantReaderRejectsInvalidValues)
    {
        for (const auto* text : { "[caller]\nport = 70000\n", "[caller]\nport = x\n", "[caller]\nport = 1\nport = 2\n",
                 "[routing]\npolicy = Best\n", "[caller\nport = 1\n", "[node]\nid\n" })
            EXPECT_FALSE(SettingsReader::createTolerant(std::string(text) + "[peer]\nfleet_key_file = key\n")) << text;
    }

    // Guards against a node that starts on defaults because its settings are incomplete.
    TEST(SettingsReader, MissingRequiredKeysAreErrors)
    {
        const std::string complete = "[node]\nmode = Registered\nid = n-1\n[entry]\nlisten = 127.0.0.1:1\n"
                                     "ready_listen = 127.0.0.1:2\n[control]\nstore = 127.0.0.1:3\n";
        EXPECT_TRUE(SettingsReader::createTolerant(complete));
        EXPECT_FALSE(SettingsReader::check(complete));
        const std::vector<std::pair<std::string, std::string>> missing {
            { "id = n-1", "node.id" },
            { "listen = 127.0.0.1:1", "entry.listen" },
            { "ready_listen = 127.0.0.1:2", "entry.ready_listen" },
            { "store = 127.0.0.1:3", "control.store" },
            { "mode = Registered", "peer.fleet_key_file" },
        };
        for (const auto& [line, key] : missing) {
            for (const auto& replacement : { std::string(), line.substr(0, line.find('=') + 1) }) {
                auto text = complete;
                text.replace(text.find(line), line.size(), replacement);
                const auto read = SettingsReader::createTolerant(text);
                ASSERT_FALSE(read) << text;
                EXPECT_THAT(read.error().message, HasSubstr(key));
            }
        }
        EXPECT_THAT(SettingsReader::check("")->message, HasSubstr("peer.fleet_key_file"));
    }

    // Guards against a start that is tried again and again although two listeners of the node have the same port.
    TEST(SettingsReader, ListenersOnSamePortAreErrors)
    {
        const auto check = [](const std::string& probe, const std::string& metrics) {
            return SettingsReader::check(
                "[node]\nmode = Registered\nid = n-1\n[entry]\nlisten = 10.0.0.1:80\nready_listen = " + probe
                + "\nmetrics_listen = " + metrics + "\n[control]\nstore = 10.0.0.9:80\n");
        };
        EXPECT_FALSE(check("10.0.0.1:81", "10.0.0.1:82"));
        EXPECT_FALSE(check("10.0.0.2:80", ""));
        EXPECT_FALSE(check("10.0.0.1:0", "10.0.0.1:0"));
        for (const auto* address : { "10.0.0.1:80", "0.0.0.0:80", ":::80" }) {
            const auto error = check("10.0.0.1:81", address);
            ASSERT_TRUE(error) << address;
            EXPECT_THAT(error->message, HasSubstr("entry.listen and entry.metrics_listen need the same port 80"));
        }
        EXPECT_THAT(SettingsReader::check("[peer]\nfleet_key_file = key\nport = 8081\n")->message,
            HasSubstr("operator_api.port and peer.port need the same port 8081"));
    }

    // Guards against a start that fails on an address of which the platform has no host or no port: the node does not
    // listen there, or the error names the key if it has to.
    TEST(SettingsReader, ListenersWithoutHostOrPortHaveNoValue)
    {
        const std::string text = "[node]\nmode = Registered\nid = n-1\n[control]\nstore = 10.0.0.9:80\n[entry]\n"
                                 "ready_listen = ::1:81\nrelay_listen = 10.0.0.1:\nmetrics_listen = :7380\n";
        const auto read = SettingsReader::createTolerant(text + "listen = 10.0.0.1:80\n");
        ASSERT_TRUE(read) << read.error().describe();
        EXPECT_EQ(read.value().settings.entry->relay_listen, "");
        EXPECT_EQ(read.value().settings.entry->metrics_listen, "");
        EXPECT_EQ(read.value().settings.entry->ready_listen, "::1:81");
        EXPECT_EQ(read.value().ignored.size(), 2U);
        EXPECT_THAT(SettingsReader::createTolerant(text + "listen = :\n").error().message, HasSubstr("entry.listen"));
        EXPECT_THAT(SettingsReader::create(text).error().message, HasSubstr("line 8: relay_listen: '10.0.0.1:'"));
    }

    // Guards against changed keys that a reload misses, and against reloading keys that require a restart.
    TEST(SettingsReader, ReportsChangedAndReloadableKeys)
    {
        const auto before = SettingsReader::create("").value();
        const auto after = SettingsReader::create("[caller]\nport = 9\n[log]\nlevel = Debug\n").value();
        EXPECT_THAT(SettingsReader::changedKeys(before, after), ElementsAre("caller.port", "log.level"));
        EXPECT_FALSE(SettingsReader::isReloadable("caller.port"));
        EXPECT_TRUE(SettingsReader::isReloadable("log.level"));
        EXPECT_FALSE(SettingsReader::isReloadable("log.unknown"));
    }

    // Guards against a reload that changes a key whose change requires a restart.
    TEST(LiveSettings, ReloadAppliesOnlyReloadableKeys)
    {
        LiveSettings live(SettingsReader::create("").value());
        const auto before = live.current();
        const auto reload = live.reload(
            SettingsReader::create("[caller]\nport = 9\n[log]\nlevel = Debug\n[operator_api]\ntoken_hash = a$b\n")
                .value());
        EXPECT_THAT(reload.applied, ElementsAre("operator_api.token_hash", "log.level"));
        EXPECT_THAT(reload.restartRequired, ElementsAre("caller.port"));
        EXPECT_EQ(live.current()->caller->port, 8080);
        EXPECT_EQ(live.current()->log->level, schema::LogLevel::Debug);
        EXPECT_EQ(live.current()->operator_api->token_hash, "a$b");
        EXPECT_EQ(before->log->level, schema::LogLevel::Info);
    }

} // namespace
} // namespace cyclamenstair
