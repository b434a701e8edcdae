#include <Cyclamenstair/Telemetry/Log.h>

#include <benchmark/benchmark.h>

int main(int argc, char** argv)
{
    // Keeps log lines of the libraries out of the results.
    cyclamenstair::configureLog(cyclamenstair::LogSeverity::Error);
    benchmark::Initialize(&argc, argv);
    if (benchmark::ReportUnrecognizedArguments(argc, argv))
        return 1;
    benchmark::RunSpecifiedBenchmarks();
    benchmark::Shutdown();
    return 0;
}
