#include <Cyclamenstair/Settings/SettingsReader.h>

#include <fstream>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <map>
#include <sstream>

namespace cyclamenstair {
namespace {

    /// Returns values of the placeholders as the platform fills them in.
    std::map<std::string, std::string> templateValues()
    {
        return {
            { "node_name", "front-3" },
            { "region", "south-1" },
            { "zone", "south-1b" },
            { "listen.front", "10.4.64.41:8080" },
            { "listen.ready_addr", "10.4.64.41:7381" },
            { "listen.control", "10.4.64.41:7400" },
            { "limits.cpu_share", "0.25" },
            { "limits.memory_mb", "256" },
            { "ip", "10.4.64.41" },
            { "inner_port_range.0", "7380" },
            { "inner_port_range.1", "7390" },
            { "seeds", "10.4.64.42:7400,10.4.64.43:7400" },
            { "bounds.grace_s", "8" },
            { "bounds.retry_budget_ratio", "0.2" },
            { "bounds.budget_slack", "58" },
            { "bounds.budget_window_s", "10" },
            { "provider.address", "10.4.1.7:2379" },
            { "bounds.lease_ms", "3000" },
            { "provider.ttl_min_ms", "1000" },
        };
    }

    /// Returns the template of the deployment with the values of templateValues(), of which `changes` replaces some.
    std::string renderedTemplate(const std::map<std::string, std::string>& changes = {})
    {
        auto values = templateValues();
        for (const auto& [name, value] : changes)
            values.at(name) = value;
        std::ostringstream file;
        file << std::ifstream(CYCLAMENSTAIR_SOURCE_DIR "/deploy/cyclamenstair.ini").rdbuf();
        auto text = file.str();
        for (const auto& [name, value] : values) {
            const auto placeholder = "{{" + name + "}}";
            for (auto at = text.find(placeholder); at != std::string::npos; at = text.find(placeholder))
                text.replace(at, placeholder.size(), value);
        }
        EXPECT_EQ(text.find("{{"), std::string::npos) << text;
        return text;
    }

    std::vector<std::string> linesOf(const std::string& text)
    {
        std::istringstream stream(text);
        std::vector<std::string> lines;
        for (std::string line; std::getline(stream, line);)
            lines.push_back(line);
        return lines;
    }

    std::string joined(const std::vector<std::string>& lines)
    {
        std::string text;
        for (const auto& line : lines)
            text += line + "\n";
        return text;
    }

    // Guards against a template that this build or the check of its settings does not accept.
    TEST(SettingsTemplate, RenderedTemplateIsComplete)
    {
        const auto text = renderedTemplate();
        EXPECT_FALSE(SettingsReader::check(text)) << SettingsReader::check(text)->describe();
        const auto read = SettingsReader::createTolerant(text);
        ASSERT_TRUE(read);
        EXPECT_TRUE(read.value().ignored.empty());
    }

    // Guards against a template that earlier builds reject, which know neither a new section nor a new key: the mark at
    // the end is a comment.
    TEST(SettingsTemplate, MarkOfTheEndIsAComment)
    {
        auto lines = linesOf(renderedTemplate());
        EXPECT_EQ(lines.back(), "; end of settings");
        lines.pop_back();
        EXPECT_FALSE(SettingsReader::createTolerant(joined(lines)));
        EXPECT_THAT(SettingsReader::check(joined(lines))->message, testing::HasSubstr("cut off"));
        EXPECT_TRUE(lines.front().starts_with(';'));
        lines.erase(lines.begin());
        EXPECT_TRUE(SettingsReader::createTolerant(joined(lines)));
    }

    // Guards against buffers that are sized for more memory than a small machine has.
    TEST(SettingsTemplate, MemoryOfTheMachineIsPassedOn)
    {
        for (const int memory : { 120, 260, 512 }) {
            const auto read
                = SettingsReader::createTolerant(renderedTemplate({ { "limits.memory_mb", std::to_string(memory) } }));
            ASSERT_TRUE(read) << read.error().describe();
            EXPECT_EQ(read.value().settings.entry->memory_mb, memory);
        }
    }

    // Guards against a start that fails, or that runs with other values, because the platform writes its numbers in
    // another form.
    TEST(SettingsTemplate, FormsOfNumbersDoNotMatter)
    {
        const auto plain = SettingsReader::createTolerant(renderedTemplate());
        ASSERT_TRUE(plain) << plain.error().describe();
        size_t numbers = 0;
        for (const auto& [name, value] : templateValues()) {
            if (value.find_first_not_of("0123456789.") != std::string::npos || name == "ip")
                continue;
            ++numbers;
            std::vector<std::string> forms { value + "e0", value + "e+00", value + "E0" };
            if (value.find('.') == std::string::npos)
                forms.insert(forms.end(), { value + ".0", value + ".000", value + "0e-1" });
            if (!name.starts_with("inner_port_range"))
                forms.insert(forms.end(), { "+" + value, "\"" + value + "\"", "'" + value + "'", value + " ; c" });
            for (const auto& form : forms) {
                const auto text = renderedTemplate({ { name, form } });
                EXPECT_FALSE(SettingsReader::check(text)) << name << " " << form;
                const auto read = SettingsReader::createTolerant(text);
                ASSERT_TRUE(read) << name << " " << form << ": " << read.error().describe();
                EXPECT_TRUE(SettingsReader::changedKeys(plain.value().settings, read.value().settings).empty())
                    << name << " " << form;
            }
        }
        EXPECT_EQ(numbers, 10U);
    }

    // Guards against a start that fails on a number of the platform that no node can keep to.
    TEST(SettingsTemplate, AnyNumberStartsTheNode)
    {
        for (const auto& [name, value] : templateValues()) {
            if (value.find_first_not_of("0123456789.") != std::string::npos || name == "ip"
                || name.starts_with("inner_port_range"))
                continue;
            for (const auto* number : { "-1", "0.5", "1e9", "1e30", "1e400", "nan", "inf", "true", "260MB" }) {
                const auto text = renderedTemplate({ { name, number } });
                const auto read = SettingsReader::createTolerant(text);
                ASSERT_TRUE(read) << name << " " << number << ": " << read.error().describe();
                const bool isReported = !read.value().ignored.empty() || !read.value().adjusted.empty();
                EXPECT_EQ(isReported, SettingsReader::check(text).has_value()) << name << " " << number;
            }
        }
    }

    // Guards against a start that fails because the platform has one port only for the traffic between nodes.
    TEST(SettingsTemplate, OneInnerPortStartsTheNode)
    {
        const auto read = SettingsReader::createTolerant(renderedTemplate({ { "inner_port_range.1", "7380" } }));
        ASSERT_TRUE(read) << read.error().describe();
        EXPECT_EQ(read.value().settings.entry->relay_listen, "10.4.64.41:7380");
        EXPECT_EQ(read.value().settings.entry->metrics_listen, "");
    }

    // Guards against a node that starts on settings of which the platform has written only a part.
    TEST(SettingsTemplate, NoPrefixIsTakenForAnotherWhole)
    {
        const auto text = renderedTemplate();
        const auto whole = SettingsReader::createTolerant(text);
        ASSERT_TRUE(whole) << whole.error().describe();
        size_t rejected = 0;
        for (size_t size = 0; size < text.size(); ++size) {
            const auto read = SettingsReader::createTolerant(text.substr(0, size));
            if (!read) {
                ++rejected;
                continue;
            }
            EXPECT_TRUE(SettingsReader::changedKeys(whole.value().settings, read.value().settings).empty()) << size;
        }
        EXPECT_GE(rejected, text.size() - 2);
    }

    // Guards against a start that fails because the platform has no value for one placeholder. Of required keys the
    // error has to name the key.
    TEST(SettingsTemplate, AnyValueMayBeEmpty)
    {
        const auto lines = linesOf(renderedTemplate());
        size_t emptied = 0;
        for (size_t i = 0; i < lines.size(); ++i) {
            const auto equals = lines[i].find('=');
            if (equals == std::string::npos || lines[i].starts_with(';'))
                continue;
            auto changed = lines;
            changed[i] = lines[i].substr(0, equals + 1);
            const auto read = SettingsReader::createTolerant(joined(changed));
            const auto key = lines[i].substr(0, equals - 1);
            ++emptied;
            if (key == "id" || key == "listen" || key == "ready_listen" || key == "store") {
                ASSERT_FALSE(read) << key;
                EXPECT_NE(read.error().message.find("." + key), std::string::npos) << read.error().describe();
            } else if (key == "mode") {
                ASSERT_FALSE(read);
            } else {
                EXPECT_TRUE(read) << key << ": " << read.error().describe();
            }
        }
        EXPECT_GT(emptied, 15U);
    }

    // Guards against a start that fails on one key of a later build, wherever the template has it.
    TEST(SettingsTemplate, AnyUnknownKeyIsAccepted)
    {
        const auto lines = linesOf(renderedTemplate());
        const auto whole = SettingsReader::createTolerant(joined(lines));
        for (size_t i = 0; i < lines.size(); ++i) {
            for (const auto* added : { "later_key = 7", "later_key =", "[later]\nkey = 1" }) {
                // A new section stands before another one, or at the end.
                const bool isSection = added[0] == '[';
                if (isSection && i + 1 < lines.size() && !lines[i].starts_with('['))
                    continue;
                auto changed = lines;
                changed.insert(changed.begin() + static_cast<std::ptrdiff_t>(i), added);
                const auto read = SettingsReader::createTolerant(joined(changed));
                ASSERT_TRUE(read) << read.error().describe();
                EXPECT_EQ(read.value().ignored.size(), 1U);
                EXPECT_TRUE(SettingsReader::changedKeys(whole.value().settings, read.value().settings).empty());
            }
        }
    }

} // namespace
} // namespace cyclamenstair
