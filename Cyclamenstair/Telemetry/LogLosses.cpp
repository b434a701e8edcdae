#include <Cyclamenstair/Telemetry/LogLosses.h>

#include <array>
#include <atomic>

namespace cyclamenstair {

namespace {

    std::array<std::atomic<uint64_t>, EnumNames<LogLoss>::table.size()> counts {};

} // namespace

void countLogLoss(LogLoss cause) noexcept { ++counts[static_cast<size_t>(cause)]; }

uint64_t logLossCount(LogLoss cause) noexcept { return counts[static_cast<size_t>(cause)]; }

} // namespace cyclamenstair
