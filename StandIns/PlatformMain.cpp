#include <StandIns/PlatformStandIn.h>
#include <StandIns/StandInMain.h>

int main(int argc, char** argv)
{
    using namespace cyclamenstair::standin;
    cxxopts::Options options("standin-platform", "Stand-in for the VM list and the weight store.");
    options.add_options()("load-ms", "Time of a load at full speed", cxxopts::value<double>()->default_value("300"))(
        "full-speed-loads", "Loads that run at full speed together", cxxopts::value<int>()->default_value("3"));
    std::unique_ptr<PlatformStandIn> platform;
    return standInMain(argc, argv, options, [&](const cxxopts::ParseResult& arguments) {
        platform = std::make_unique<PlatformStandIn>(
            arguments["port"].as<int>(), arguments["load-ms"].as<double>(), arguments["full-speed-loads"].as<int>());
        return platform->start();
    });
}
