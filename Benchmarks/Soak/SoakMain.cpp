#include <Benchmarks/Soak/DayRun.h>
#include <Benchmarks/Soak/SoakRun.h>

#include <algorithm>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <unistd.h>

namespace {

using cyclamenstair::DayRun;
using cyclamenstair::DaySettings;
using cyclamenstair::SoakRun;
using cyclamenstair::SoakSettings;

constexpr auto shiftedClockDaemon = "Tests/cyclamenstaird-with-shifted-clock"; ///< In the build folder.

/// Throws std::runtime_error if a name is not one of a kind.
template <typename Kind> std::set<Kind> kindsOf(const std::vector<std::string>& names)
{
    std::set<Kind> kinds;
    for (const auto& name : names) {
        const auto kind = cyclamenstair::enumFromName<Kind>(name);
        if (!kind)
            throw std::runtime_error("unknown kind '" + name + "'");
        kinds.insert(*kind);
    }
    return kinds;
}

/// Returns the kinds that --without and --only leave out.
template <typename Kind> std::set<Kind> leftOutKinds(const cxxopts::ParseResult& arguments)
{
    std::set<Kind> leftOut;
    if (arguments.count("without"))
        leftOut = kindsOf<Kind>(arguments["without"].as<std::vector<std::string>>());
    if (arguments.count("only")) {
        const auto played = kindsOf<Kind>(arguments["only"].as<std::vector<std::string>>());
        for (const auto& row : cyclamenstair::EnumNames<Kind>::table) {
            if (!played.contains(row.value))
                leftOut.insert(row.value);
        }
    }
    return leftOut;
}

SoakSettings soakSettings(const cxxopts::ParseResult& arguments)
{
    SoakSettings settings;
    settings.seed = arguments["seed"].as<uint64_t>();
    settings.duration = std::chrono::seconds(arguments["seconds"].as<int>());
    settings.nodes = arguments["nodes"].as<size_t>();
    settings.daemons = arguments["daemon"].as<std::vector<std::string>>();
    settings.meanFaultInterval = cyclamenstair::milliseconds(arguments["interval-ms"].as<int>());
    settings.callers = arguments["callers"].as<size_t>();
    settings.bodyBytes = arguments["body-kib"].as<size_t>() << 10U;
    settings.hasTeams = arguments["teams"].as<bool>();
    settings.hasVersions = arguments["versions"].as<bool>();
    settings.isStressed = arguments["stress"].as<bool>();
    settings.fillsStore = arguments["fill-store"].as<bool>();
    settings.leftOut = leftOutKinds<cyclamenstair::SoakFaultKind>(arguments);
    return settings;
}

/// Throws Exception if the site cannot be read, std::runtime_error if it has no such day.
DaySettings daySettings(const cxxopts::ParseResult& arguments)
{
    DaySettings settings;
    settings.site = cyclamenstair::readSiteFile(arguments["site"].as<std::string>()).value();
    const auto name = arguments["day"].as<std::string>();
    const auto day = std::find_if(
        settings.site.days.begin(), settings.site.days.end(), [&](const auto& other) { return other.name == name; });
    if (day == settings.site.days.end())
        throw std::runtime_error("the site has no day '" + name + "'");
    settings.day = *day;
    if (!day->requestKinds.empty())
        settings.site.requestKinds = day->requestKinds;
    settings.seed = arguments.count("seed") ? arguments["seed"].as<uint64_t>() : day->seed;
    settings.length = arguments.count("seconds")
        ? cyclamenstair::Duration(std::chrono::seconds(arguments["seconds"].as<int>()))
        : settings.site.length;
    settings.leftOut = leftOutKinds<cyclamenstair::SiteEventKind>(arguments);
    settings.daemons = arguments["daemon"].as<std::vector<std::string>>();
    // Without a choice of daemons, days with steps of the clock are played with the one that takes them.
    settings.stepsClocks = arguments.count("daemon") == 0 && settings.plays(cyclamenstair::SiteEventKind::ClockStep)
        && std::any_of(day->events.begin(), day->events.end(),
            [](const auto& event) { return event.kind == cyclamenstair::SiteEventKind::ClockStep; });
    if (settings.stepsClocks)
        settings.daemons = { shiftedClockDaemon };
    settings.isStressed = arguments["stress"].as<bool>();
    settings.fillsStore = arguments["fill-store"].as<bool>();
    std::ostringstream text;
    text << std::ifstream(arguments["template"].as<std::string>()).rdbuf();
    settings.settingsTemplate = text.str();
    const auto form
        = cyclamenstair::enumFromName<cyclamenstair::NumberForm>(arguments["number-form"].as<std::string>());
    if (!form)
        throw std::runtime_error("unknown form of numbers");
    settings.numberForm = *form;
    settings.isThrottled = arguments["throttle"].as<bool>();
    return settings;
}

/// Returns the number of findings.
size_t playSoak(const cxxopts::ParseResult& arguments, const std::string& folder)
{
    const auto settings = soakSettings(arguments);
    SoakRun soak(settings, folder);
    soak.run();
    std::cout << "seed " << settings.seed << ", requests by status:";
    for (const auto& [status, count] : soak.requestCounts())
        std::cout << " " << status << ": " << count;
    std::cout << ", orders: " << soak.orderCount() << "\nends of processes:";
    for (const auto& [verdict, count] : soak.endCounts())
        std::cout << " " << nameOf(verdict) << ": " << count;
    std::cout << "\nlargest resident memory: " << (soak.maxResidentBytes() >> 20U) << " MiB\n";
    size_t findings = 0;
    for (const auto& [rule, descriptions] : soak.findings()) {
        std::cout << "broken: " << nameOf(rule) << " " << descriptions.size() << "\n";
        findings += descriptions.size();
    }
    return findings;
}

/// Returns the number of findings.
size_t playDay(const cxxopts::ParseResult& arguments, const std::string& folder)
{
    const auto settings = daySettings(arguments);
    std::cout << settings.site.name << ", day " << settings.day.name << ", seed " << settings.seed << std::endl;
    DayRun day(settings, folder);
    day.run();
    return day.printReport();
}

} // namespace

int main(int argc, char** argv)
{
    using namespace cyclamenstair;
    cxxopts::Options options("cyclamenstair-soak", "Runs nodes as processes under faults and checks the rules.");
    options.add_options()("seed", "Seed of the faults and requests", cxxopts::value<uint64_t>()->default_value("1"))(
        "seconds", "Duration of the traffic", cxxopts::value<int>()->default_value("30"))(
        "nodes", "Number of nodes", cxxopts::value<size_t>()->default_value("3"))(
        "callers", "Number of callers", cxxopts::value<size_t>()->default_value("12"))("body-kib",
        "Additional size of each request's body", cxxopts::value<size_t>()->default_value("0"))("interval-ms",
        "Mean time between faults, apart from cuts and those of --stress",
        cxxopts::value<int>()->default_value("1500"))("daemon",
        "Paths of daemons, of which each start takes one by chance of the seed. Settings that a daemon rejects as "
        "unknown "
        "with --check are left out for it",
        cxxopts::value<std::vector<std::string>>()->default_value(SoakSettings {}.daemons.front()))("stress",
        "Also play early and repeated signals, settings written during starts and reloads, and output that nobody "
        "reads",
        cxxopts::value<bool>()->default_value("false"))("fill-store",
        "Another writer fills the store with records of all sizes, whose keys may end pages",
        cxxopts::value<bool>()->default_value("false"))("without",
        "Kinds of faults to leave out; the times of the others "
        "stay the same",
        cxxopts::value<std::vector<std::string>>())(
        "only", "Kinds of faults to play and no others", cxxopts::value<std::vector<std::string>>())(
        "teams", "The catalog has a team, whose key callers present", cxxopts::value<bool>()->default_value("false"))(
        "versions", "Two software versions serve each service", cxxopts::value<bool>()->default_value("false"))("site",
        "Site file of a deployment, of which a day is played instead of drawn faults", cxxopts::value<std::string>())(
        "day", "Name of the day", cxxopts::value<std::string>())("template", "Settings template of a day's nodes",
        cxxopts::value<std::string>()->default_value(CYCLAMENSTAIR_SOURCE_DIR "/deploy/cyclamenstair.ini"))(
        "number-form", "Form in which the template's numbers are filled in",
        cxxopts::value<std::string>()->default_value("whole"))("throttle",
        "Processes of a day get no more than their processor share",
        cxxopts::value<bool>()->default_value("false"))("keep-logs", "Keep the logs also if no rule is broken",
        cxxopts::value<bool>()->default_value("false"))("h,help", "Print this help");
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help")) {
            std::cout << options.help();
            return 0;
        }
        const auto folder
            = std::filesystem::temp_directory_path() / ("cyclamenstair-soak-" + std::to_string(::getpid()));
        std::filesystem::create_directories(folder);
        const auto findings = arguments.count("site") ? playDay(arguments, folder) : playSoak(arguments, folder);
        const bool keepsLogs = findings > 0 || arguments["keep-logs"].as<bool>();
        if (keepsLogs)
            std::cout << "logs: " << folder.string() << "\n";
        if (findings > 0)
            return 1;
        if (!keepsLogs)
            std::filesystem::remove_all(folder);
        std::cout << "no rule broken\n";
        return 0;
    } catch (const std::exception& exception) {
        std::cerr << "cyclamenstair-soak: " << exception.what() << "\n";
        return 2;
    }
}
