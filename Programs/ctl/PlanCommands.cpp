#include <Programs/ctl/PlanCommands.h>

#include <Cyclamenstair/Core/Crypto.h>
#include <Programs/ctl/Table.h>

#include <httplib.h>
#include <iostream>
#include <thread>

namespace cyclamenstair::ctl {

namespace {

    using Json = nlohmann::json;

    /// An acceptance with an unknown outcome is retried with the same acceptance id.
    constexpr int maxAcceptAttempts = 3;
    constexpr auto retryInterval = std::chrono::milliseconds(500);

    void printFindings(const Json& body)
    {
        for (const char* kind : { "error", "warning" }) {
            for (const auto& finding : body.value(std::string(kind) + "s", Json::array())) {
                const auto line = finding.value("line", 0);
                std::cerr << kind << ": " << (line ? "line " + std::to_string(line) + ": " : "")
                          << finding.value("message", "") << "\n";
            }
        }
    }

    ExitStatus reportAcceptResult(const OperatorResponse& response, const std::string& acceptanceId)
    {
        const auto result = response.body.is_object() ? response.body.value("result", "") : "";
        if (result.empty() && response.status != 0)
            return reportFailure(response);
        if (result == "accepted") {
            printFindings(response.body);
            std::cout << "accepted as revision " << response.body["head"]["revision"] << "\n";
            return ExitStatus::Ok;
        }
        if (result == "refused") {
            printFindings(response.body);
            std::cerr << "plan not accepted: the sheet has errors\n";
            return ExitStatus::Refused;
        }
        if (result == "conflict") {
            std::cerr << "plan not accepted: revision " << response.body["head"]["revision"]
                      << " was accepted first, by " << response.body["head"]["accepted_by"].get<std::string>() << "\n";
            return ExitStatus::Conflict;
        }
        if (result == "not_accepted") {
            std::cerr << "plan not accepted: " << response.body.value("message", "") << "\n";
            return ExitStatus::Unavailable;
        }
        std::cerr << "unknown whether the plan was accepted; retry with --acceptance-id " << acceptanceId << "\n";
        return ExitStatus::Unavailable;
    }

    /// Posts the sheet to the dry-run endpoint `path` and prints the findings. Sets `status`; returns no value after a
    /// failure, which it prints.
    std::optional<Json> dryRun(
        OperatorClient& client, const std::string& path, const std::string& sheetPath, bool isJson, ExitStatus& status)
    {
        const auto response = client.post(path, readFile(sheetPath), "text/csv");
        if (response.status != 200 || !response.body.is_object()) {
            status = reportFailure(response);
            return std::nullopt;
        }
        if (isJson)
            std::cout << response.body.dump(2) << "\n";
        else
            printFindings(response.body);
        status = response.body.value("result", "") == "ok" ? ExitStatus::Ok : ExitStatus::Refused;
        return response.body;
    }

} // namespace

ExitStatus acceptPlan(OperatorClient& client, const AcceptArguments& arguments, bool isJson)
{
    const auto sheet = readFile(arguments.sheetPath);
    const auto acceptanceId = arguments.acceptanceId.value_or(randomId());
    httplib::Params parameters { { "operator", arguments.operatorName }, { "reason", arguments.reason },
        { "acceptance_id", acceptanceId } };
    // The expected revision is read once, before the first attempt, so that a retry cannot replace a plan that was
    // accepted in the meantime.
    auto expectedRevision = arguments.expectedRevision;
    if (!expectedRevision) {
        const auto status = client.get("/operator/status");
        if (status.status != 200 || !status.body.is_object())
            return reportFailure(status);
        expectedRevision = status.body.value("plan_revision", uint64_t(0));
    }
    parameters.emplace("expected_revision", std::to_string(*expectedRevision));
    OperatorResponse response;
    for (int attempt = 0; attempt < maxAcceptAttempts; ++attempt) {
        auto attemptParameters = parameters;
        if (attempt > 0 || arguments.acceptanceId)
            attemptParameters.emplace("repeat", "1");
        response
            = client.post(httplib::append_query_params("/operator/plan/accept", attemptParameters), sheet, "text/csv");
        const bool isUnknown = response.status == 0 || response.status == 504;
        if (!isUnknown || attempt + 1 == maxAcceptAttempts)
            break;
        std::this_thread::sleep_for(retryInterval);
    }
    if (isJson && response.body.is_object())
        std::cout << response.body.dump(2) << "\n";
    return reportAcceptResult(response, acceptanceId);
}

ExitStatus checkPlan(OperatorClient& client, const std::string& sheetPath, bool isJson)
{
    ExitStatus status = ExitStatus::Ok;
    const auto body = dryRun(client, "/operator/plan/check", sheetPath, isJson, status);
    if (body && !isJson)
        std::cout << (status == ExitStatus::Ok ? "the sheet can be accepted\n" : "the sheet has errors\n");
    return status;
}

ExitStatus diffPlan(OperatorClient& client, const std::string& sheetPath, bool isJson)
{
    ExitStatus status = ExitStatus::Ok;
    const auto body = dryRun(client, "/operator/plan/diff", sheetPath, isJson, status);
    if (!body || isJson || !body->contains("diff"))
        return status;
    Table table({ "CHANGE", "KIND", "NAME" });
    for (const auto& [change, kinds] : (*body)["diff"].items()) {
        for (const auto& [kind, names] : kinds.items()) {
            for (const auto& name : names)
                table.addRow({ change, kind, name.get<std::string>() });
        }
    }
    std::cout << "difference to revision " << (*body)["revision"] << ":\n";
    table.print();
    return status;
}

ExitStatus showPlan(OperatorClient& client, bool isJson)
{
    const auto response = client.get("/operator/plan");
    if (response.status != 200)
        return reportFailure(response);
    if (!isJson) {
        std::cout << response.text;
        return ExitStatus::Ok;
    }
    const auto revision = fieldValue(response.fields, "X-Plan-Revision");
    std::cout << Json { { "revision", revision ? std::stoull(*revision) : 0 }, { "sheet", response.text } }.dump(2)
              << "\n";
    return ExitStatus::Ok;
}

ExitStatus showPlanHistory(OperatorClient& client, bool isJson)
{
    const auto response = client.get("/operator/plan/history");
    if (response.status != 200 || !response.body.is_object())
        return reportFailure(response);
    if (isJson) {
        std::cout << response.body.dump(2) << "\n";
        return ExitStatus::Ok;
    }
    Table table({ "REVISION", "ACCEPTED AT", "BY", "REASON" });
    for (const auto& head : response.body["history"])
        table.addRow({ std::to_string(head["revision"].get<uint64_t>()),
            formatUtcTime(head["accepted_at_unix_ms"].get<uint64_t>()), head["accepted_by"].get<std::string>(),
            head["reason"].get<std::string>() });
    table.print();
    return ExitStatus::Ok;
}

} // namespace cyclamenstair::ctl
