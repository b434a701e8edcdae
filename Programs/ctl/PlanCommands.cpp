#include <Programs/ctl/PlanCommands.h>

#include <Cyclamenstair/Core/Crypto.h>
#include <Programs/ctl/Table.h>

#include <iostream>
#include <thread>

namespace cyclamenstair::ctl {

namespace {

    using Json = nlohmann::json;

    /// An unknown outcome is settled by repeating the call with the same id.
    constexpr int maxAttempts = 3;
    constexpr auto pauseBetweenAttempts = std::chrono::milliseconds(500);

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

    ExitStatus finishAccept(const OperatorAnswer& answer, const std::string& acceptanceId)
    {
        const auto result = answer.body.is_object() ? answer.body.value("result", "") : "";
        if (result.empty() && answer.status != 0)
            return reportFailure(answer);
        if (result == "accepted") {
            printFindings(answer.body);
            std::cout << "accepted as revision " << answer.body["head"]["revision"] << "\n";
            return ExitStatus::Ok;
        }
        if (result == "refused") {
            printFindings(answer.body);
            std::cerr << "plan not accepted: the sheet has errors\n";
            return ExitStatus::Refused;
        }
        if (result == "conflict") {
            std::cerr << "plan not accepted: revision " << answer.body["head"]["revision"] << " was accepted first, by "
                      << answer.body["head"]["accepted_by"].get<std::string>() << "\n";
            return ExitStatus::Conflict;
        }
        if (result == "not_accepted") {
            std::cerr << "plan not accepted: " << answer.body.value("message", "") << "\n";
            return ExitStatus::Unavailable;
        }
        std::cerr << "it is not known whether the plan was accepted; repeat with --acceptance-id " << acceptanceId
                  << "\n";
        return ExitStatus::Unavailable;
    }

    /// Posts the sheet to a dry run; returns the answer after printing its findings or the failure.
    std::optional<Json> dryRun(
        OperatorClient& client, const std::string& path, const std::string& sheetPath, bool isJson, ExitStatus& status)
    {
        const auto answer = client.post(path, readFile(sheetPath), "text/csv");
        if (answer.status != 200 || !answer.body.is_object()) {
            status = reportFailure(answer);
            return std::nullopt;
        }
        if (isJson)
            std::cout << answer.body.dump(2) << "\n";
        else
            printFindings(answer.body);
        status = answer.body.value("result", "") == "ok" ? ExitStatus::Ok : ExitStatus::Refused;
        return answer.body;
    }

} // namespace

ExitStatus acceptPlan(OperatorClient& client, const AcceptArguments& arguments, bool isJson)
{
    const auto sheet = readFile(arguments.sheetPath);
    const auto acceptanceId = arguments.acceptanceId.value_or(randomId());
    httplib::Params parameters { { "operator", arguments.operatorName }, { "reason", arguments.reason },
        { "acceptance_id", acceptanceId } };
    // The revision is fixed before the first attempt, so that a repeat cannot replace a plan that was accepted in
    // between.
    auto expectedRevision = arguments.expectedRevision;
    if (!expectedRevision) {
        const auto status = client.get("/operator/status");
        if (status.status != 200 || !status.body.is_object())
            return reportFailure(status);
        expectedRevision = status.body.value("plan_revision", uint64_t(0));
    }
    parameters.emplace("expected_revision", std::to_string(*expectedRevision));
    OperatorAnswer answer;
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        auto all = parameters;
        if (attempt > 0 || arguments.acceptanceId)
            all.emplace("repeat", "1");
        answer = client.post(httplib::append_query_params("/operator/plan/accept", all), sheet, "text/csv");
        const bool isUnknown = answer.status == 0 || answer.status == 504;
        if (!isUnknown || attempt + 1 == maxAttempts)
            break;
        std::this_thread::sleep_for(pauseBetweenAttempts);
    }
    if (isJson && answer.body.is_object())
        std::cout << answer.body.dump(2) << "\n";
    return finishAccept(answer, acceptanceId);
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
    const auto answer = client.get("/operator/plan");
    if (answer.status != 200)
        return reportFailure(answer);
    if (!isJson) {
        std::cout << answer.text;
        return ExitStatus::Ok;
    }
    const auto revision = answer.headers.find("X-Plan-Revision");
    std::cout << Json {
        { "revision", revision == answer.headers.end() ? 0 : std::stoull(revision->second) }, { "sheet", answer.text }
    }.dump(2) << "\n";
    return ExitStatus::Ok;
}

ExitStatus showPlanHistory(OperatorClient& client, bool isJson)
{
    const auto answer = client.get("/operator/plan/history");
    if (answer.status != 200 || !answer.body.is_object())
        return reportFailure(answer);
    if (isJson) {
        std::cout << answer.body.dump(2) << "\n";
        return ExitStatus::Ok;
    }
    Table table({ "REVISION", "ACCEPTED AT", "BY", "REASON" });
    for (const auto& head : answer.body["history"])
        table.addRow(
            { std::to_string(head["revision"].get<uint64_t>()), timeText(head["accepted_at_unix_ms"].get<uint64_t>()),
                head["accepted_by"].get<std::string>(), head["reason"].get<std::string>() });
    table.print();
    return ExitStatus::Ok;
}

} // namespace cyclamenstair::ctl
