#pragma once

#include <Cyclamenstair/Telemetry/AuditEntry.h>

#include <string>
#include <string_view>

namespace cyclamenstair {

/// The encoder returns a FlatBuffers record; the decoder throws Exception on malformed input.
std::string encodeAuditEntry(const AuditEntry& entry);
AuditEntry decodeAuditEntry(std::string_view bytes);

} // namespace cyclamenstair
