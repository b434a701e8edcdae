#include <StandIns/StandInMain.h>
#include <StandIns/StoreStandIn.h>

int main(int argc, char** argv)
{
    using namespace cyclamenstair::standin;
    std::unique_ptr<StoreStandIn> store;
    return standInMain(argc, argv, cxxopts::Options("standin-store", "Stand-in for the key-value store."),
        [&](const cxxopts::ParseResult& arguments) {
            store = std::make_unique<StoreStandIn>(arguments["port"].as<int>());
            return store->start();
        });
}
