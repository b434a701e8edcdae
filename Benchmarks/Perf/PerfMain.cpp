#include <Cyclamenstair/Telemetry/Log.h>

#include <benchmark/benchmark.h>

int main(int argc, char** argv)
{
    // The libraries' log lines would stand between the results.
    cyclamenstair::configureLog(cyclamenstair::LogSeverity::Error);
    benchmark::Initialize(&argc, argv);
    if (benchmark::ReportUnrecognizedArguments(argc, argv))
        return 1;
    benchmark::RunSpecifiedBenchmarks();
    benchmark::Shutdown();
    return 0;
}
