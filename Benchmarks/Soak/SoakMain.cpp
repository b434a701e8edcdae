#include <Benchmarks/Soak/SoakRun.h>

#include <cxxopts.hpp>
#include <filesystem>
#include <iostream>
#include <unistd.h>

namespace {

/// Throws std::runtime_error if a name is not one of a fault kind.
std::set<cyclamenstair::SoakFaultKind> faultKinds(const std::vector<std::string>& names)
{
    std::set<cyclamenstair::SoakFaultKind> kinds;
    for (const auto& name : names) {
        const auto kind = cyclamenstair::enumFromName<cyclamenstair::SoakFaultKind>(name);
        if (!kind)
            throw std::runtime_error("unknown kind of fault '" + name + "'");
        kinds.insert(*kind);
    }
    return kinds;
}

} // namespace

int main(int argc, char** argv)
{
    using namespace cyclamenstair;
    SoakSettings settings;
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
        cxxopts::value<std::vector<std::string>>()->default_value(settings.daemons.front()))("stress",
        "Also play early and repeated signals, settings written during starts and reloads, and output that nobody "
        "reads",
        cxxopts::value<bool>()->default_value("false"))("without",
        "Kinds of faults to leave out; the times of the others "
        "stay the same",
        cxxopts::value<std::vector<std::string>>())("only", "Kinds of faults to play and no others",
        cxxopts::value<std::vector<std::string>>())("teams", "The catalog has a team, whose key callers present",
        cxxopts::value<bool>()->default_value("false"))("versions", "Two software versions serve each service",
        cxxopts::value<bool>()->default_value("false"))("keep-logs", "Keep the logs also if no rule is broken",
        cxxopts::value<bool>()->default_value("false"))("h,help", "Print this help");
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help")) {
            std::cout << options.help();
            return 0;
        }
        settings.seed = arguments["seed"].as<uint64_t>();
        settings.duration = std::chrono::seconds(arguments["seconds"].as<int>());
        settings.nodes = arguments["nodes"].as<size_t>();
        settings.daemons = arguments["daemon"].as<std::vector<std::string>>();
        settings.meanFaultInterval = milliseconds(arguments["interval-ms"].as<int>());
        settings.callers = arguments["callers"].as<size_t>();
        settings.bodyBytes = arguments["body-kib"].as<size_t>() << 10U;
        settings.hasTeams = arguments["teams"].as<bool>();
        settings.hasVersions = arguments["versions"].as<bool>();
        settings.isStressed = arguments["stress"].as<bool>();
        if (arguments.count("without"))
            settings.leftOut = faultKinds(arguments["without"].as<std::vector<std::string>>());
        if (arguments.count("only")) {
            const auto played = faultKinds(arguments["only"].as<std::vector<std::string>>());
            for (const auto& row : EnumNames<SoakFaultKind>::table) {
                if (!played.contains(row.value))
                    settings.leftOut.insert(row.value);
            }
        }
        const auto folder
            = std::filesystem::temp_directory_path() / ("cyclamenstair-soak-" + std::to_string(::getpid()));
        std::filesystem::create_directories(folder);
        size_t findings = 0;
        {
            SoakRun soak(settings, folder);
            soak.run();
            std::cout << "seed " << settings.seed << ", requests by status:";
            for (const auto& [status, count] : soak.requestCounts())
                std::cout << " " << status << ": " << count;
            std::cout << ", orders: " << soak.orderCount() << "\nends of processes:";
            for (const auto& [verdict, count] : soak.endCounts())
                std::cout << " " << nameOf(verdict) << ": " << count;
            std::cout << "\nlargest resident memory: " << (soak.maxResidentBytes() >> 20U) << " MiB\n";
            for (const auto& [rule, descriptions] : soak.findings()) {
                std::cout << "broken: " << nameOf(rule) << " " << descriptions.size() << "\n";
                findings += descriptions.size();
            }
        }
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
