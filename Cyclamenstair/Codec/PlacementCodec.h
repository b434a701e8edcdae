#pragma once

#include <Cyclamenstair/Membership/LeasedPortions.h>
#include <Cyclamenstair/Placement/DemandTracker.h>

#include <string_view>

namespace cyclamenstair {

/// Demand observed by one node, as published by gossip.
struct DemandSummary {
    std::string node;
    DemandByArtifact demand;
};

/// Encoders return FlatBuffers records; decoders throw Exception on malformed records.
std::string encodeDemand(const DemandSummary& summary);
DemandSummary decodeDemand(std::string_view bytes);

std::string encodePortions(const LeasedPortions& portions);
LeasedPortions decodePortions(std::string_view bytes);

} // namespace cyclamenstair
