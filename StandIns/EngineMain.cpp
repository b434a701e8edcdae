#include <StandIns/EngineStandIn.h>
#include <StandIns/StandInMain.h>

int main(int argc, char** argv)
{
    using namespace cyclamenstair::standin;
    cxxopts::Options options("standin-engine", "Stand-in for a model engine.");
    options.add_options()("memory-mib", "Accelerator memory", cxxopts::value<uint64_t>()->default_value("16384"))(
        "slots", "Requests that are decoded together", cxxopts::value<uint32_t>()->default_value("8"))("prefill-ms",
        "Time to the first token", cxxopts::value<double>()->default_value("4"))("token-ms", "Time between tokens",
        cxxopts::value<double>()->default_value("2"))("ignore-fencing", "Accept orders with old fencing numbers")(
        "weight-store", "HOST:PORT of the platform stand-in", cxxopts::value<std::string>()->default_value(""));
    std::unique_ptr<EngineStandIn> engine;
    return standInMain(argc, argv, options, [&](const cxxopts::ParseResult& arguments) {
        EngineSettings settings;
        settings.memoryBytes = arguments["memory-mib"].as<uint64_t>() << 20;
        settings.slots = arguments["slots"].as<uint32_t>();
        settings.prefillMs = arguments["prefill-ms"].as<double>();
        settings.tokenMs = arguments["token-ms"].as<double>();
        settings.enforcesFencing = arguments.count("ignore-fencing") == 0;
        settings.weightStore = arguments["weight-store"].as<std::string>();
        engine = std::make_unique<EngineStandIn>(settings, arguments["port"].as<int>());
        return engine->start();
    });
}
