#include <StandIns/ServiceStandIn.h>
#include <StandIns/StandInMain.h>

int main(int argc, char** argv)
{
    using namespace cyclamenstair::standin;
    std::unique_ptr<ServiceStandIn> service;
    return standInMain(argc, argv, cxxopts::Options("standin-service", "Stand-in for a plain service."),
        [&](const cxxopts::ParseResult& arguments) {
            service = std::make_unique<ServiceStandIn>(arguments["port"].as<int>());
            return service->start();
        });
}
