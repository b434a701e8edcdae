#include <Benchmarks/Soak/SoakRun.h>

#include <cxxopts.hpp>
#include <filesystem>
#include <iostream>
#include <unistd.h>

int main(int argc, char** argv)
{
    using namespace cyclamenstair;
    cxxopts::Options options("cyclamenstair-soak", "Runs nodes as processes under faults and checks the rules.");
    options.add_options()("seed", "Seed of the faults and requests", cxxopts::value<uint64_t>()->default_value("1"))(
        "seconds", "Duration of the traffic", cxxopts::value<int>()->default_value("30"))(
        "nodes", "Number of nodes", cxxopts::value<size_t>()->default_value("3"))("h,help", "Print this help");
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help")) {
            std::cout << options.help();
            return 0;
        }
        SoakSettings settings;
        settings.seed = arguments["seed"].as<uint64_t>();
        settings.duration = std::chrono::seconds(arguments["seconds"].as<int>());
        settings.nodes = arguments["nodes"].as<size_t>();
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
            std::cout << "\n";
            for (const auto& [rule, descriptions] : soak.findings()) {
                std::cout << "broken: " << nameOf(rule) << " " << descriptions.size() << "\n";
                findings += descriptions.size();
            }
        }
        if (findings > 0) {
            std::cout << "logs: " << folder.string() << "\n";
            return 1;
        }
        std::filesystem::remove_all(folder);
        std::cout << "no rule broken\n";
        return 0;
    } catch (const std::exception& exception) {
        std::cerr << "cyclamenstair-soak: " << exception.what() << "\n";
        return 2;
    }
}
