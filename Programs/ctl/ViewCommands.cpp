#include <Programs/ctl/ViewCommands.h>

#include <Programs/ctl/Table.h>

#include <iostream>

namespace cyclamenstair::ctl {

ExitStatus showStatus(OperatorClient& client, bool isJson)
{
    const auto response = client.get("/operator/status");
    if (response.status != 200 || !response.body.is_object())
        return reportFailure(response);
    if (isJson) {
        std::cout << response.body.dump(2) << "\n";
        return ExitStatus::Ok;
    }
    std::cout << "node " << response.body["node"].get<std::string>() << ", plan revision "
              << response.body["plan_revision"] << "\n\n";
    Table members({ "MEMBER", "STATE", "PEER ADDRESS", "FAILURE DOMAIN" });
    for (const auto& member : response.body["members"])
        members.addRow({ member["node"].get<std::string>(), member["state"].get<std::string>(),
            member["peer_address"].get<std::string>(), member["failure_domain"].get<std::string>() });
    members.print();
    std::cout << "\n";
    Table targets({ "TARGET", "POOL", "FAILURE DOMAIN", "LEAVING", "ARTIFACTS" });
    for (const auto& target : response.body["targets"]) {
        std::string artifacts;
        for (const auto& artifact : target["artifacts"])
            artifacts += (artifacts.empty() ? "" : " ") + artifact.get<std::string>();
        targets.addRow({ target["target"].get<std::string>(), target["pool"].get<std::string>(),
            target["failure_domain"].get<std::string>(), target["leaving"].get<bool>() ? "yes" : "no", artifacts });
    }
    targets.print();
    return ExitStatus::Ok;
}

ExitStatus showAudit(OperatorClient& client, uint32_t limit, bool isJson)
{
    const auto response = client.get("/operator/audit?limit=" + std::to_string(limit));
    if (response.status != 200 || !response.body.is_object())
        return reportFailure(response);
    if (isJson) {
        std::cout << response.body.dump(2) << "\n";
        return ExitStatus::Ok;
    }
    Table table({ "TIME", "NODE", "KIND", "WHO", "WHAT", "FROM", "TO", "WHY" });
    for (const auto& entry : response.body["entries"])
        table.addRow({ formatUtcTime(entry["at_unix_ms"].get<uint64_t>()), entry["node"].get<std::string>(),
            entry["kind"].get<std::string>(), entry["who"].get<std::string>(), entry["what"].get<std::string>(),
            std::to_string(entry["from_revision"].get<uint64_t>()),
            std::to_string(entry["to_revision"].get<uint64_t>()), entry["why"].get<std::string>() });
    table.print();
    for (const auto& node : response.body["nodes_without_answer"])
        std::cerr << "warning: no response from " << node.get<std::string>() << "\n";
    return ExitStatus::Ok;
}

} // namespace cyclamenstair::ctl
