#pragma once

#include <Cyclamenstair/Codec/RecordCodec.h>
#include <Cyclamenstair/Plan/PlanValidator.h>
#include <Cyclamenstair/Telemetry/AuditEntry.h>

#include <nlohmann/json.hpp>

namespace httplib {
struct Response;
} // namespace httplib

namespace cyclamenstair {

/// JSON representations used by the operator API.
nlohmann::json findingsJson(const std::vector<SheetFinding>& findings);
nlohmann::json headJson(const PlanHead& head);
nlohmann::json auditJson(const AuditEntry& entry);
nlohmann::json deltaJson(const PlanDelta& delta);

void writeJson(httplib::Response& response, int status, const nlohmann::json& body);

} // namespace cyclamenstair
