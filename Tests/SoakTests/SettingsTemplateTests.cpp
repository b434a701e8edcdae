#include <Benchmarks/Soak/SettingsTemplate.h>

#include <Cyclamenstair/Settings/SettingsReader.h>
#include <platform/SettingsFields.h>

#include <fstream>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <sstream>

namespace cyclamenstair {
namespace {

    using ::testing::HasSubstr;

    Json exampleFields()
    {
        return Json::parse(R"({"name":"n-1","count":3,"slack":33.0,"share":0.25,"on":true,"off":false,"none":null,
            "empty":[],"ports":["70","80"],"limits":{"cores":2},"zones":{"a":"r","b":"s"},
            "nodes":[{"name":"x"},{"id":"y"}]})");
    }

    std::string render(std::string_view text, NumberForm form = NumberForm::Typed)
    {
        const auto result = renderTemplate(text, exampleFields(), form);
        return result ? result.value() : "error: " + result.error().message;
    }

    SettingsNode exampleNode()
    {
        return { "node-1", "127.0.0.1", "127.0.0.1:8080", "127.0.0.1:8081", "127.0.0.1:8082", 7380, 7395,
            { "127.0.0.1:8082", "127.0.0.1:8092" }, "127.0.0.1:2379" };
    }

    Site exampleSite()
    {
        Site site;
        site.region = "coast";
        site.failureDomains = { "pier-1" };
        site.gracePeriod = std::chrono::seconds(6);
        site.retrySlack = 33;
        SiteVms vms;
        vms.failureDomain = "pier-1";
        vms.cpuShare = 0.5;
        vms.memoryMb = 200;
        vms.maxDescriptors = 900;
        site.vms.push_back(vms);
        return site;
    }

    std::string renderDeployedTemplate(NumberForm form)
    {
        std::ostringstream text;
        text << std::ifstream(CYCLAMENSTAIR_SOURCE_DIR "/deploy/cyclamenstair.ini").rdbuf();
        const auto site = exampleSite();
        return renderTemplate(text.str(), settingsFields(site, site.vms.front(), exampleNode()), form).value();
    }

    // Guards against settings that differ from those that the platform writes for the same template.
    TEST(SettingsTemplate, PlaceholdersGiveValues)
    {
        EXPECT_EQ(render("id = {{name}}\n"), "id = n-1\n");
        EXPECT_EQ(render("{{limits.cores}} {{ports.1}} {{nodes.1.id}}"), "2 80 y");
        EXPECT_EQ(render("[{{ports}}] [{{empty}}]"), "[70,80] []");
        EXPECT_EQ(
            render("[{{none}}] [{{missing}}] [{{limits.missing}}] [{{ports.2}}] [{{ports.x}}]"), "[] [] [] [] []");
        EXPECT_EQ(render("{{on}} {{off}} {{limits}}"), "true false {\"cores\":2}");
    }

    // Guards against sections that are rendered too often, or for the wrong entry.
    TEST(SettingsTemplate, SectionsAreRenderedForEachEntry)
    {
        EXPECT_EQ(render("{{#ports}}{{@}}={{.}}{{,}}{{/ports}}"), "0=70,1=80");
        EXPECT_EQ(render("{{#zones}}{{@}}={{.}}{{,}}{{/zones}}"), "a=r,b=s");
        EXPECT_EQ(render("{{#nodes}}<{{name}}>{{/nodes}}"), "<x><n-1>");
        EXPECT_EQ(
            render("{{#on}}a{{/on}}{{#off}}b{{/off}}{{#none}}c{{/none}}{{#empty}}d{{/empty}}{{#name}}{{.}}{{/name}}"),
            "an-1");
        EXPECT_EQ(render("{{^on}}a{{/on}}{{^off}}b{{/off}}{{^missing}}c{{/missing}}{{^ports}}d{{/ports}}"), "bc");
        EXPECT_EQ(
            render("{{#off}}{{#nodes}}a{{/nodes}}{{/off}}{{#limits}}{{#ports}}{{.}}{{/ports}}{{/limits}}"), "7080");
    }

    // Guards against a slip in the template that passes as a text.
    TEST(SettingsTemplate, UnclosedPartsAreErrors)
    {
        EXPECT_THAT(render("id = {{name"), HasSubstr("error: a placeholder is not closed"));
        EXPECT_THAT(render("{{#ports}}x"), HasSubstr("error: the section {{#ports}} is not closed"));
        EXPECT_THAT(render("{{#ports}}{{/zones}}"), HasSubstr("error: {{/zones}} closes no open section"));
        EXPECT_THAT(render("{{/zones}}"), HasSubstr("error: {{/zones}} closes no open section"));
    }

    // Guards against a form of numbers that no test of the settings covers because it is rendered like another one.
    TEST(SettingsTemplate, NumbersAreWrittenInEachForm)
    {
        const auto* const text = "{{count}} {{slack}} {{share}}";
        EXPECT_EQ(render(text, NumberForm::Typed), "3 33.0 0.25");
        EXPECT_EQ(render(text, NumberForm::Whole), "3 33 0.25");
        EXPECT_EQ(render(text, NumberForm::Decimal), "3.0 33.0 0.25");
        EXPECT_EQ(render(text, NumberForm::Exponent), "3e+00 3.3e+01 2.5e-01");
    }

    // Guards against placeholders of the deployed template for which a node of a site has no value: a start on defaults
    // would hide it.
    TEST(SettingsTemplate, FieldsOfANodeFillInTheDeployedTemplate)
    {
        const auto text = renderDeployedTemplate(NumberForm::Whole);
        EXPECT_THAT(text, Not(HasSubstr("= \n")));
        EXPECT_THAT(text, Not(HasSubstr("{{")));
        const auto read = SettingsReader::createTolerant(text);
        ASSERT_TRUE(read) << read.error().describe();
        EXPECT_TRUE(read.value().ignored.empty());
        const auto& settings = read.value().settings;
        EXPECT_EQ(settings.node->id, "node-1");
        EXPECT_EQ(settings.node->region, "coast");
        EXPECT_EQ(settings.node->failure_domain, "pier-1");
        EXPECT_EQ(settings.entry->listen, "127.0.0.1:8080");
        EXPECT_EQ(settings.entry->ready_listen, "127.0.0.1:8081");
        EXPECT_EQ(settings.entry->peer_listen, "127.0.0.1:8082");
        EXPECT_EQ(settings.entry->metrics_listen, "127.0.0.1:7380");
        EXPECT_EQ(settings.entry->relay_listen, "127.0.0.1:7395");
        EXPECT_EQ(settings.entry->seeds, "127.0.0.1:8082,127.0.0.1:8092");
        EXPECT_EQ(settings.entry->cpu_share, 0.5);
        EXPECT_EQ(settings.entry->memory_mb, 200);
        EXPECT_EQ(settings.entry->grace_s, 6);
        EXPECT_EQ(settings.entry->retry_slack, 33);
        EXPECT_EQ(settings.control->store, "127.0.0.1:2379");
    }

    // Guards against numbers that lose the type of the site file, so that the soak writes another form than asked for.
    TEST(SettingsTemplate, FormOfNumbersReachesTheSettings)
    {
        EXPECT_THAT(renderDeployedTemplate(NumberForm::Typed), HasSubstr("memory_mb = 200\n"));
        EXPECT_THAT(renderDeployedTemplate(NumberForm::Typed), HasSubstr("retry_slack = 33.0\n"));
        EXPECT_THAT(renderDeployedTemplate(NumberForm::Typed), HasSubstr("grace_s = 6.0\n"));
        EXPECT_THAT(renderDeployedTemplate(NumberForm::Decimal), HasSubstr("memory_mb = 200.0\n"));
        EXPECT_THAT(renderDeployedTemplate(NumberForm::Exponent), HasSubstr("retry_slack = 3.3e+01\n"));
        EXPECT_THAT(renderDeployedTemplate(NumberForm::Exponent), HasSubstr("relay_listen = 127.0.0.1:7395\n"));
    }

} // namespace
} // namespace cyclamenstair
