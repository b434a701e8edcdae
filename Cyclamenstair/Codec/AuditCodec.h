#pragma once

#include <Cyclamenstair/Telemetry/AuditEntry.h>

#include <string>
#include <string_view>

namespace cyclamenstair {

/// Returns the entry as a FlatBuffers AuditRecord.
std::string encodeAuditEntry(const AuditEntry& entry);

/// Decodes an AuditRecord; throws Exception if `bytes` are malformed or the kind is unknown.
AuditEntry decodeAuditEntry(std::string_view bytes);

} // namespace cyclamenstair
