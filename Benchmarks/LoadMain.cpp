#include <Benchmarks/Scenario.h>

#include <csignal>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>

namespace {

using namespace cyclamenstair;
using namespace cyclamenstair::load;

constexpr int exitInvariantBroken = 1;
constexpr int exitUsageError = 2;

cxxopts::Options makeOptions()
{
    std::string names;
    for (const auto& name : scenarioNames())
        names += (names.empty() ? "" : ", ") + name;
    cxxopts::Options options("cyclamenstair-load",
        "Starts a fleet on loopback, sends a generated mix with the baseline and the default settings, and compares "
        "the\n"
        "figures with the bounds of the design page. Exits with 1 if an invariant was broken, never because of a "
        "timing.\n"
        "Scenarios: "
            + names);
    options.add_options()("scenario", "Scenario", cxxopts::value<std::string>())(
        "deployment", "prairie-hours or puppy-walker", cxxopts::value<std::string>()->default_value("prairie-hours"))(
        "seed", "Seed of the mix", cxxopts::value<uint64_t>()->default_value("20261204"))("time-scale",
        "Factor for the lengths of all phases", cxxopts::value<double>()->default_value("1"))("crest-load",
        "Load at the top of the crest, as a multiple of the engines' capacity",
        cxxopts::value<double>()->default_value("1.2"))(
        "threads", "Calls that can be in flight", cxxopts::value<size_t>()->default_value("500"))("set",
        "Further setting of the nodes as SECTION.KEY=VALUE, for both policies",
        cxxopts::value<std::vector<std::string>>())(
        "json", "File for the figures", cxxopts::value<std::string>()->default_value(""))("h,help", "Print this help");
    options.parse_positional({ "scenario" });
    options.positional_help("SCENARIO");
    return options;
}

int run(const cxxopts::ParseResult& arguments)
{
    const auto name = arguments["scenario"].as<std::string>();
    const auto scenario = scenarioFromName(name);
    const auto deployment = enumFromName<DeploymentKind>(arguments["deployment"].as<std::string>());
    if (!scenario || !deployment) {
        std::cerr << "The scenario or deployment is unknown; see --help.\n";
        return exitUsageError;
    }
    ScenarioOptions options;
    options.deployment = *deployment;
    options.seed = arguments["seed"].as<uint64_t>();
    options.timeScale = arguments["time-scale"].as<double>();
    options.crestLoad = arguments["crest-load"].as<double>();
    options.threads = arguments["threads"].as<size_t>();
    if (arguments.count("set")) {
        for (const auto& setting : arguments["set"].as<std::vector<std::string>>()) {
            const auto equals = setting.find('=');
            if (equals == std::string::npos || setting.find('.') > equals) {
                std::cerr << "'" << setting << "' is not SECTION.KEY=VALUE.\n";
                return exitUsageError;
            }
            options.nodeSettings[setting.substr(0, equals)] = setting.substr(equals + 1);
        }
    }
    const auto report = runScenario(*scenario, options);
    std::cout << "scenario " << name << ", deployment " << nameOf(*deployment) << ", seed " << options.seed
              << ", time scale " << options.timeScale << "\n"
              << formatTable(report.results) << report.text << formatChecks(report.checks);
    if (const auto path = arguments["json"].as<std::string>(); !path.empty()) {
        auto json = report.toJson();
        json["scenario"] = name;
        json["deployment"] = nameOf(*deployment);
        json["seed"] = options.seed;
        json["time_scale"] = options.timeScale;
        std::ofstream(path) << json.dump(2) << "\n";
    }
    for (const auto& result : report.results) {
        if (!result.findings.empty())
            std::cout << "broken invariants in " << result.name << ":\n" << testing::describeFindings(result.findings);
    }
    std::cout << (report.hasFindings() ? "BROKEN INVARIANTS, see above\n" : "no invariant was broken\n");
    return report.hasFindings() ? exitInvariantBroken : 0;
}

} // namespace

int main(int argc, char** argv)
{
    signal(SIGPIPE, SIG_IGN);
    try {
        auto options = makeOptions();
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") || !arguments.count("scenario")) {
            std::cout << options.help();
            return arguments.count("help") ? 0 : exitUsageError;
        }
        return run(arguments);
    } catch (const std::exception& exception) {
        std::cerr << exception.what() << "\n";
        return exitUsageError;
    }
}
