#include <Cyclamenstair/Core/Crypto.h>
#include <Cyclamenstair/Telemetry/Log.h>
#include <Programs/ctl/ExplainCommand.h>
#include <Programs/ctl/PlanCommands.h>
#include <Programs/ctl/ViewCommands.h>

#include <cxxopts.hpp>
#include <iostream>

namespace {

using namespace cyclamenstair;
using namespace cyclamenstair::ctl;

constexpr const char* commandHelp = R"(
Commands:
  status                 members and targets as the node sees them
  plan accept SHEET      accept the sheet as the plan
  plan check SHEET       check the sheet; changes nothing
  plan diff SHEET        compare the sheet with the plan in force; changes nothing
  plan show              print the plan in force as a sheet, with hashes of tokens
  plan history           list the accepted plans
  audit                  list the last changes on all nodes
  hash-token TOKEN       print the salted hash of a token
  explain ID LOG...      print what the processes' logs say of a request
)";

void printHelp(const cxxopts::Options& options)
{
    std::cout << options.help() << commandHelp << "\nExit status:\n";
    for (const auto& row : EnumNames<ExitStatus>::table)
        std::cout << "  " << static_cast<int>(row.value) << "  " << row.name << "\n";
}

AcceptArguments parseAcceptArguments(const cxxopts::ParseResult& arguments, const std::string& sheetPath)
{
    AcceptArguments result;
    result.sheetPath = sheetPath;
    result.operatorName = arguments["operator"].as<std::string>();
    result.reason = arguments["reason"].as<std::string>();
    if (arguments.count("expected-revision"))
        result.expectedRevision = arguments["expected-revision"].as<uint64_t>();
    if (arguments.count("acceptance-id"))
        result.acceptanceId = arguments["acceptance-id"].as<std::string>();
    return result;
}

ExitStatus runPlanCommand(
    OperatorClient& client, const cxxopts::ParseResult& arguments, const std::vector<std::string>& words, bool isJson)
{
    const auto& command = words[1];
    if (words.size() == 3 && command == "accept")
        return acceptPlan(client, parseAcceptArguments(arguments, words[2]), isJson);
    if (words.size() == 3 && command == "check")
        return checkPlan(client, words[2], isJson);
    if (words.size() == 3 && command == "diff")
        return diffPlan(client, words[2], isJson);
    if (words.size() == 2 && command == "show")
        return showPlan(client, isJson);
    if (words.size() == 2 && command == "history")
        return showPlanHistory(client, isJson);
    std::cerr << "cyclamenstairctl: unknown plan command; see --help\n";
    return ExitStatus::Usage;
}

ExitStatus runCommand(const cxxopts::ParseResult& arguments, const std::vector<std::string>& words)
{
    if (words.size() == 2 && words[0] == "hash-token") {
        std::cout << hashToken(words[1]) << "\n";
        return ExitStatus::Ok;
    }
    if (words.size() >= 3 && words[0] == "explain")
        return explainRequest(words[1], { words.begin() + 2, words.end() });
    auto token = arguments.count("token-file") ? readFile(arguments["token-file"].as<std::string>())
                                               : arguments["token"].as<std::string>();
    token.erase(token.find_last_not_of(" \r\n") + 1);
    OperatorClient client(arguments["node"].as<std::string>(), token);
    const bool isJson = arguments.count("json") > 0;
    if (words.size() == 1 && words[0] == "status")
        return showStatus(client, isJson);
    if (words.size() == 1 && words[0] == "audit")
        return showAudit(client, arguments["limit"].as<uint32_t>(), isJson);
    if (words.size() >= 2 && words[0] == "plan")
        return runPlanCommand(client, arguments, words, isJson);
    std::cerr << "cyclamenstairctl: unknown command; see --help\n";
    return ExitStatus::Usage;
}

} // namespace

int main(int argc, char** argv)
{
    disableLog();
    cxxopts::Options options("cyclamenstairctl", "Operators' tool.");
    options.add_options()(
        "node", "Operator address of any node", cxxopts::value<std::string>()->default_value("127.0.0.1:8081"))(
        "token", "Operator token", cxxopts::value<std::string>()->default_value(""))(
        "token-file", "File that holds the operator token", cxxopts::value<std::string>())(
        "operator", "Name for the audit trail", cxxopts::value<std::string>()->default_value("operator"))(
        "reason", "Reason for the audit trail", cxxopts::value<std::string>()->default_value(""))(
        "expected-revision", "Revision that the change is based on; by default the node's", cxxopts::value<uint64_t>())(
        "acceptance-id", "Id of an earlier attempt whose outcome is unknown", cxxopts::value<std::string>())(
        "limit", "Number of audit entries", cxxopts::value<uint32_t>()->default_value("100"))("json", "Print JSON")(
        "h,help", "Print this help")("words", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({ "words" });
    options.positional_help("COMMAND");
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") || !arguments.count("words")) {
            printHelp(options);
            return static_cast<int>(arguments.count("help") ? ExitStatus::Ok : ExitStatus::Usage);
        }
        return static_cast<int>(runCommand(arguments, arguments["words"].as<std::vector<std::string>>()));
    } catch (const std::exception& exception) {
        std::cerr << "cyclamenstairctl: " << exception.what() << "\n";
        return static_cast<int>(ExitStatus::Usage);
    }
}
