#include <Cyclamenstair/Node/OperatorJson.h>

#include <httplib.h>

namespace cyclamenstair {

namespace {

    using Json = nlohmann::json;

    template <typename Row> Json namesOf(const std::vector<Row>& rows)
    {
        Json names = Json::array();
        for (const auto& row : rows)
            names.push_back(row.name);
        return names;
    }

} // namespace

Json findingsJson(const std::vector<SheetFinding>& findings)
{
    Json rows = Json::array();
    for (const auto& finding : findings)
        rows.push_back({ { "line", finding.line }, { "message", finding.message } });
    return rows;
}

Json headJson(const PlanHead& head)
{
    return { { "revision", head.revision }, { "acceptance_id", head.acceptanceId }, { "accepted_by", head.acceptedBy },
        { "accepted_at_unix_ms", head.acceptedAtUnixMs }, { "reason", head.reason } };
}

Json auditJson(const AuditEntry& entry)
{
    return { { "node", entry.node }, { "sequence", entry.sequence }, { "at_unix_ms", entry.atUnixMs },
        { "kind", nameOf(entry.kind) }, { "who", entry.actor }, { "what", entry.action },
        { "from_revision", entry.fromRevision }, { "to_revision", entry.toRevision }, { "why", entry.reason } };
}

Json deltaJson(const PlanDelta& delta)
{
    return { { "changed",
                 { { "models", namesOf(delta.changed.models) }, { "adapters", namesOf(delta.changed.adapters) },
                     { "services", namesOf(delta.changed.services) }, { "callers", namesOf(delta.changed.callers) } } },
        { "removed",
            { { "models", delta.removedModels }, { "adapters", delta.removedAdapters },
                { "services", delta.removedServices }, { "callers", delta.removedCallers } } } };
}

void writeJson(httplib::Response& response, int status, const Json& body)
{
    response.status = status;
    // Names and reasons given by operators may contain invalid UTF-8; dump() throws on it by default.
    response.set_content(body.dump(-1, ' ', false, Json::error_handler_t::replace), "application/json");
}

} // namespace cyclamenstair
