#pragma once

#include <Cyclamenstair/Http/HttpMessage.h>
#include <StandIns/SimulatedBatch.h>
#include <StandIns/SimulatedModels.h>

namespace cyclamenstair {

/// What a simulated target says of itself in its entry and its reports.
struct SimulatedTargetState {
    std::string address;
    bool isDraining { false };
    std::optional<Duration> remainingTime; ///< Until the target is taken away.
    int64_t startedUnixMs { 0 };
    const SimulatedModels* models { nullptr }; ///< Of an engine; not owned.
};

/// Decodes the fields of a request that concern its work. Malformed numbers count as absent.
SimulatedRequest decodeSimulatedRequest(const HttpRequest& request, TimePoint now);

/// Decodes the body of an order. Returns no value if a field is missing or of the wrong type.
std::optional<SimulatedOrder> decodeSimulatedOrder(const std::string& body);

/// Returns the HTTP status of the response to an order. `Crash` has none.
uint32_t statusOf(SimulatedOrderOutcome outcome);

/// Encodes the entry for the store; `sequenceNumber` is that of the entry.
std::string encodeSimulatedEntry(
    const SimulatedTargetSettings& settings, const SimulatedTargetState& state, int64_t sequenceNumber);

std::string encodeSimulatedReport(const SimulatedTargetState& state, const SimulatedBatch& batch);

} // namespace cyclamenstair
