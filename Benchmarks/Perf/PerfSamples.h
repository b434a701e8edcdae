#pragma once

#include <Cyclamenstair/Codec/RecordCodec.h>
#include <Cyclamenstair/Membership/GossipTable.h>

#include <cstdint>
#include <string>

namespace cyclamenstair::perf {

/// Artifacts per sample target: 26 models and 60 adapters in 2 to 3 copies on 12 targets.
constexpr int artifactsPerTarget = 16;

/// Returns a member record as a node announces it.
MemberInfo sampleMember(int index);

/// Returns the status of a target as its coordinator publishes it.
TargetStatus sampleTarget(int index);

/// Fills a table with one member per five targets, as in a region of 175 nodes and 863 targets.
void fillGossipTable(GossipTable& table, int entries);

/// Returns a plan with `models` models, two adapters per model and one caller per ten models.
Plan samplePlan(int models);

/// Returns a ledger with the given number of resident artifacts.
TargetLedger sampleLedger(int entries);

/// Returns free heap memory to the system, then returns the resident memory of this process in bytes.
double residentBytes();

} // namespace cyclamenstair::perf
