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

    // Guards against a tolerant reader that accepts what no build can have meant, or for which no other value can
    // stand: a node of the other mode is another program, and a node at another port is one that nobody finds.
    TEST(SettingsReader, TolerantReaderRejectsInvalidValues)
    {
        for (const auto* text : { "[caller]\nport = 70000\n", "[caller]\nport = x\n", "[caller]\nport = 1\nport = 2\n",
                 "[caller]\nport = 80.5\n", "[node]\nmode = Best\n", "[caller\nport = 1\n", "[node]\nid\n",
                 "[node]\nid = n\xff\n" }) {
            const auto read = SettingsReader::createTolerant(std::string(text) + "[peer]\nfleet_key_file = key\n");
            ASSERT_FALSE(read) << text;
            EXPECT_THAT(read.error().message, HasSubstr("line ")) << text;
        }
    }

    /// Returns the settings of a text with these lines in section entry, which a start accepts.
    Result<TolerantSettings> readEntry(const std::string& lines)
    {
        return SettingsReader::createTolerant("[peer]\nfleet_key_file = key\n[entry]\n" + lines + "\n");
    }

    // Guards against a start that fails, and a check that complains, because a template writes a whole number as a real
    // one.
    TEST(SettingsReader, WholeNumbersAreAcceptedInAnyForm)
    {
        for (const auto* text : { "54", "54.0", "54.", "5.4e+01", "5.4E1", "540e-1", "+54", "+54.0", "054", "54.000",
                 "\"54\"", "'54.0'", "\" 54 \"", "54 ; attempts", "  54\t" }) {
            const auto line = std::string("retry_slack = ") + text;
            const auto read = readEntry(line);
            ASSERT_TRUE(read) << text << ": " << read.error().describe();
            EXPECT_EQ(read.value().settings.entry->retry_slack, 54) << text;
            EXPECT_TRUE(read.value().ignored.empty()) << text;
            EXPECT_TRUE(read.value().adjusted.empty()) << text;
            const auto strict = SettingsReader::create("[entry]\n" + line + "\n");
            ASSERT_TRUE(strict) << text << ": " << strict.error().describe();
            EXPECT_EQ(strict.value().entry->retry_slack, 54) << text;
        }
        for (const auto* text : { "8", "8.0", "+8.0", "8e0", "0.8e+1", "\"8.0\"" }) {
            const auto read = SettingsReader::create(std::string("[entry]\ngrace_s = ") + text + "\n");
            ASSERT_TRUE(read) << text << ": " << read.error().describe();
            EXPECT_EQ(read.value().entry->grace_s, 8) << text;
        }
        const auto large = SettingsReader::create("[admission]\nmax_queued_bytes = 1.073741824e9\n");
        ASSERT_TRUE(large) << large.error().describe();
        EXPECT_EQ(large.value().admission->max_queued_bytes, 1073741824);
    }

    /// Line of section entry or control, the value that a start uses for it, and the reason that it reports.
    struct AdjustedLine {
        const char* section;
        const char* line;
        const char* used;
        const char* reason;
    };

    class AdjustedValues : public testing::TestWithParam<AdjustedLine> { };

    // Guards against a start that fails on a number outside its range or, for an integer, on one that is not whole; and
    // against one that uses another value silently. Overstepping a bound of the platform is never the safe side.
    TEST_P(AdjustedValues, AreServedWithAndReported)
    {
        const auto& param = GetParam();
        const auto text = "[peer]\nfleet_key_file = key\n[" + std::string(param.section) + "]\n" + param.line + "\n";
        const auto read = SettingsReader::createTolerant(text);
        ASSERT_TRUE(read) << read.error().describe();
        EXPECT_TRUE(read.value().ignored.empty());
        ASSERT_EQ(read.value().adjusted.size(), 1U);
        const auto& entry = read.value().adjusted.front();
        EXPECT_EQ(entry.line, 4);
        EXPECT_EQ(entry.section, param.section);
        EXPECT_TRUE(std::string(param.line).starts_with(entry.key + " = ")) << entry.key;
        EXPECT_TRUE(std::string(param.line).ends_with(entry.value)) << entry.value;
        EXPECT_EQ(entry.used, param.used);
        EXPECT_EQ(nameOf(entry.reason), param.reason);
        const auto expected = SettingsReader::create("[" + std::string(param.section) + "]\n" + entry.key + " = "
            + param.used + "\n[peer]\nfleet_key_file = key\n");
        ASSERT_TRUE(expected) << expected.error().describe();
        EXPECT_TRUE(SettingsReader::changedKeys(expected.value(), read.value().settings).empty());
        EXPECT_THAT(
            SettingsReader::check(text)->message, HasSubstr("line 4: " + entry.key + ": '" + entry.value + "'"));
    }

    INSTANTIATE_TEST_SUITE_P(All, AdjustedValues,
        testing::Values(AdjustedLine { "entry", "retry_slack = 54.5", "54", "not_whole" },
            AdjustedLine { "entry", "memory_mb = 259.999", "259", "not_whole" },
            AdjustedLine { "entry", "loops = 1.5", "1", "not_whole" },
            AdjustedLine { "entry", "retry_nodes = 15.5", "16", "not_whole" },
            AdjustedLine { "control", "order_gap_ms = 2999.1", "3000", "not_whole" },
            AdjustedLine { "control", "min_lease_ms = 1.0005e3", "1001", "not_whole" },
            AdjustedLine { "entry", "memory_mb = 32", "64", "out_of_range" },
            AdjustedLine { "entry", "memory_mb = 63.9", "64", "out_of_range" },
            AdjustedLine { "entry", "grace_s = 0", "0.1", "out_of_range" },
            AdjustedLine { "entry", "grace_s = -1e300", "0.1", "out_of_range" },
            AdjustedLine { "entry", "retry_window_s = 0.0", "1", "out_of_range" },
            AdjustedLine { "entry", "cpu_share = 0", "0.01", "out_of_range" },
            AdjustedLine { "entry", "retry_ratio = 1.5", "1", "out_of_range" },
            AdjustedLine { "entry", "retry_ratio = -0.1", "0", "out_of_range" },
            AdjustedLine { "entry", "retry_slack = -1", "0", "out_of_range" },
            AdjustedLine { "entry", "retry_slack = 9223372036854775808", "1000000", "out_of_range" },
            AdjustedLine { "entry", "retry_slack = -99999999999999999999", "0", "out_of_range" },
            AdjustedLine { "entry", "retry_slack = 1e300", "1000000", "out_of_range" },
            AdjustedLine { "control", "min_lease_ms = 0", "10", "out_of_range" },
            AdjustedLine { "control", "order_gap_ms = 0.0", "100", "out_of_range" }));

    // Guards against a start that fails on a tuning value that is no number or no name of this build, as an empty one
    // does not; and against undefined conversions of values that are not finite.
    TEST(SettingsReader, MalformedValuesKeepDefaults)
    {
        const auto defaults = readEntry("").value().settings;
        for (const auto* text :
            { "260MB", "x", "true", "false", "null", "nan", "-nan", "inf", "-inf", "infinity", "1e400", "-1e400",
                "0x36", "1_000", "++5", "+-5", "+", "-", ".", "e5", "5e", "5 4", "54.0.1", "\"54" }) {
            for (const auto* key : { "memory_mb", "grace_s" }) {
                const auto line = std::string(key) + " = " + text;
                const auto read = readEntry(line);
                ASSERT_TRUE(read) << line << ": " << read.error().describe();
                EXPECT_TRUE(SettingsReader::changedKeys(defaults, read.value().settings).empty()) << line;
                ASSERT_EQ(read.value().ignored.size(), 1U) << line;
                EXPECT_EQ(read.value().ignored.front().reason, IgnoredSettingReason::MalformedValue) << line;
                EXPECT_EQ(read.value().ignored.front().item, text);
                const auto strict = SettingsReader::create("[entry]\n" + line + "\n");
                ASSERT_FALSE(strict) << line;
                EXPECT_THAT(strict.error().message, HasSubstr("is not a number")) << line;
            }
        }
        const auto read = readEntry("[control]\norder_gap_ms = soon");
        ASSERT_TRUE(read) << read.error().describe();
        EXPECT_EQ(read.value().settings.control->order_gap_ms, defaults.control->order_gap_ms);
        ASSERT_EQ(read.value().ignored.size(), 1U);
        EXPECT_EQ(read.value().ignored.front().key, "order_gap_ms");
    }

    // Guards against a start that fails on a name that a later build knows.
    TEST(SettingsReader, UnknownNamesKeepDefaults)
    {
        const auto read
            = SettingsReader::createTolerant("[peer]\nfleet_key_file = key\n[log]\nlevel = Trace\n"
                                             "[routing]\npolicy = Best\n[admission]\npolicy = \"AcceptAll\"\n");
        ASSERT_TRUE(read) << read.error().describe();
        EXPECT_EQ(read.value().settings.log->level, schema::LogLevel::Info);
        EXPECT_EQ(read.value().settings.routing->policy, schema::RoutingPolicyKind::Weighted);
        EXPECT_EQ(read.value().settings.admission->policy, schema::AdmissionPolicyKind::AcceptAll);
        ASSERT_EQ(read.value().ignored.size(), 2U);
        for (const auto& entry : read.value().ignored)
            EXPECT_EQ(entry.reason, IgnoredSettingReason::UnknownName);
        EXPECT_EQ(read.value().ignored[1].item, "Best");
    }

    // Guards against a number that is stored outside the range of its key, or that reaches the settings unreported,
    // whatever its text is.
    RC_GTEST_PROP(SettingsReader, numbersAreInRangeOrReported, (int64_t mantissa, int exponent, bool isWhole))
    {
        const auto text = std::to_string(mantissa) + (isWhole ? "" : ".5") + "e" + std::to_string(exponent % 320);
        const auto read = readEntry("retry_slack = " + text + "\ngrace_s = " + text);
        RC_ASSERT(static_cast<bool>(read));
        const auto& entry = *read.value().settings.entry;
        RC_ASSERT(entry.retry_slack >= 0 && entry.retry_slack <= 1000000);
        RC_ASSERT(entry.grace_s >= 0.1 && entry.grace_s <= 3600);
        const bool isReported = !read.value().adjusted.empty() || !read.value().ignored.empty();
        RC_ASSERT(
            isReported == !SettingsReader::create("[entry]\nretry_slack = " + text + "\ngrace_s = " + text + "\n"));
    }

    // Guards against a text editor's or template's way to write a file that changes its meaning: a byte order mark,
    // CRLF, blanks around lines, comments after values, and quotes.
    TEST(SettingsReader, FormsOfTextDoNotMatter)
    {
        const std::string begin = "; This file is complete only with the last line \"; end of settings\".";
        const std::string end = "; end of settings";
        const std::string body = "[node]\nmode = Registered\nid = n-1\n[entry]\nlisten = 127.0.0.1:1\n"
                                 "ready_listen = 127.0.0.1:2\nmemory_mb = 120\n[control]\nstore = 127.0.0.1:3\n";
        const auto plain = SettingsReader::createTolerant(begin + "\n" + body + end + "\n");
        ASSERT_TRUE(plain) << plain.error().describe();
        auto quoted = body;
        for (const auto* value : { "Registered", "n-1", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "120" })
            quoted.replace(
                quoted.find(value + std::string("\n")), std::string(value).size(), "\"" + std::string(value) + "\"");
        auto indented = body;
        for (size_t at = 0; (at = indented.find('\n', at)) != std::string::npos && at + 1 < indented.size(); at += 7)
            indented.replace(at, 1, " ; c\n\t ");
        auto crlf = body;
        for (size_t at = 0; (at = crlf.find('\n', at)) != std::string::npos; at += 2)
            crlf.replace(at, 1, "\r\n");
        const auto joined = [](std::initializer_list<std::string_view> parts) {
            std::string text;
            for (const auto part : parts)
                text += part;
            return text;
        };
        for (const auto& text : { joined({ "\xef\xbb\xbf", begin, "\n", body, end }),
                 joined({ begin, "\n", quoted, end, "\n" }), joined({ begin, " \n", indented, "  ", end, " \t\n" }),
                 joined({ begin, "\r\n", crlf, end, "\r\n" }) }) {
            const auto read = SettingsReader::createTolerant(text);
            ASSERT_TRUE(read) << text << read.error().describe();
            EXPECT_TRUE(SettingsReader::changedKeys(plain.value().settings, read.value().settings).empty()) << text;
            EXPECT_FALSE(SettingsReader::check(text)) << text;
            // A file that declares its last line is incomplete without it, in each form.
            const auto cut = SettingsReader::createTolerant(text.substr(0, text.rfind("; end")));
            ASSERT_FALSE(cut) << text;
            EXPECT_THAT(cut.error().message, HasSubstr("cut off")) << text;
        }
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

    // Guards against a start that fails because the platform has only one port for the listeners that a node can do
    // without. The earlier one of the schema stays: requests of isolated nodes matter more than metrics.
    TEST(SettingsReader, ListenersThatTheNodeCanDoWithoutYield)
    {
        const auto read = [](const std::string& lines) {
            return SettingsReader::createTolerant(
                "[node]\nmode = Registered\nid = n-1\n[control]\nstore = 10.0.0.9:80\n"
                "[entry]\nlisten = 10.0.0.1:80\nready_listen = 10.0.0.1:81\n"
                + lines);
        };
        const auto both = read("metrics_listen = 10.0.0.1:7380\nrelay_listen = 10.0.0.1:7380\n");
        ASSERT_TRUE(both) << both.error().describe();
        EXPECT_EQ(both.value().settings.entry->relay_listen, "10.0.0.1:7380");
        EXPECT_EQ(both.value().settings.entry->metrics_listen, "");
        ASSERT_EQ(both.value().ignored.size(), 1U);
        EXPECT_EQ(both.value().ignored[0].reason, IgnoredSettingReason::PortInUse);
        EXPECT_EQ(both.value().ignored[0].key, "metrics_listen");
        EXPECT_EQ(both.value().ignored[0].line, 9);
        EXPECT_EQ(both.value().ignored[0].item, "10.0.0.1:7380");
        EXPECT_EQ(both.value().ignored[0].conflictingKey, "entry.relay_listen");

        const auto required
            = read("peer_listen = 10.0.0.1:82\nrelay_listen = 10.0.0.1:82\nmetrics_listen = 0.0.0.0:81\n");
        ASSERT_TRUE(required) << required.error().describe();
        EXPECT_EQ(required.value().settings.entry->peer_listen, "10.0.0.1:82");
        EXPECT_EQ(required.value().settings.entry->relay_listen, "");
        EXPECT_EQ(required.value().settings.entry->metrics_listen, "");
        EXPECT_EQ(required.value().ignored.size(), 2U);

        const auto malformed = read("metrics_listen = 10.0.0.1:99999\nrelay_listen = front:7380\n");
        ASSERT_TRUE(malformed) << malformed.error().describe();
        EXPECT_EQ(malformed.value().settings.entry->metrics_listen, "");
        EXPECT_EQ(malformed.value().settings.entry->relay_listen, "");
        EXPECT_EQ(malformed.value().ignored.size(), 2U);

        // Callers, the platform and other nodes need these: without one of them the node would serve nobody, or exceed
        // the bounds of the fleet.
        const auto probe = read("ready_listen = 10.0.0.1:80\n");
        EXPECT_FALSE(probe);
        const auto peer = read("peer_listen = 10.0.0.1:81\n");
        ASSERT_FALSE(peer);
        EXPECT_THAT(peer.error().message, HasSubstr("entry.ready_listen and entry.peer_listen need the same port 81"));
    }

    // Guards against addresses whose port a template writes as a real number.
    TEST(SettingsReader, PortsOfAddressesMayBeRealNumbers)
    {
        const std::string text
            = "[node]\nmode = Registered\nid = n-1\n[control]\nstore = 10.0.0.9:80.0\n[entry]\n"
              "listen = 10.0.0.1:8.0e1\nready_listen = 10.0.0.1:81\nmetrics_listen = 10.0.0.1:7380.0\n"
              "seeds = 10.0.0.2:7400.0,10.0.0.3:7400.5\n";
        const auto read = SettingsReader::createTolerant(text);
        ASSERT_TRUE(read) << read.error().describe();
        EXPECT_EQ(read.value().settings.control->store, "10.0.0.9:80");
        EXPECT_EQ(read.value().settings.entry->listen, "10.0.0.1:80");
        EXPECT_EQ(read.value().settings.entry->metrics_listen, "10.0.0.1:7380");
        EXPECT_EQ(read.value().settings.entry->seeds, "10.0.0.2:7400");
        EXPECT_EQ(read.value().ignored.size(), 1U);
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
