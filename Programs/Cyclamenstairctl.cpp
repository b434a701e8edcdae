#include <Cyclamenstair/Core/Crypto.h>
#include <Cyclamenstair/Settings/SettingsReader.h>

#include <cxxopts.hpp>
#include <fstream>
#include <httplib.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace {

using namespace cyclamenstair;
using Json = nlohmann::json;

constexpr int exitOk = 0;
constexpr int exitRefused = 1;
constexpr int exitUsage = 2;
constexpr int exitUnavailable = 3;

/// Answer of a node to an operator's call.
struct OperatorAnswer {
    int status { 0 };
    Json body;
};

/// Calls the operator API of one node.
class OperatorClient {
public:
    OperatorClient(const std::string& endpoint, const std::string& token)
        : m_client("http://" + endpoint)
        , m_headers { { "Authorization", "Bearer " + token } }
    {
        m_client.set_read_timeout(std::chrono::seconds(30));
    }

    OperatorAnswer get(const std::string& path) { return answerOf(m_client.Get(path.c_str(), m_headers)); }

    OperatorAnswer post(const std::string& path, const std::string& body, const std::string& contentType)
    {
        return answerOf(m_client.Post(path.c_str(), m_headers, body, contentType.c_str()));
    }

private:
    static OperatorAnswer answerOf(const httplib::Result& result)
    {
        if (!result)
            return {};
        return { result->status, Json::parse(result->body, nullptr, false) };
    }

    httplib::Client m_client;
    httplib::Headers m_headers;
};

std::string readFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        throw std::runtime_error("cannot open " + path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void printFindings(const Json& findings, const char* kind)
{
    for (const auto& finding : findings)
        std::cerr << kind << ": line " << finding.value("line", 0) << ": " << finding.value("message", "") << "\n";
}

int acceptPlan(OperatorClient& client, const cxxopts::ParseResult& arguments, const std::string& sheetPath)
{
    httplib::Params parameters { { "operator", arguments["operator"].as<std::string>() },
        { "reason", arguments["reason"].as<std::string>() }, { "acceptance_id", randomId() } };
    if (arguments.count("expected-revision"))
        parameters.emplace("expected_revision", std::to_string(arguments["expected-revision"].as<uint64_t>()));
    const auto path = httplib::append_query_params("/operator/plan/accept", parameters);
    const auto answer = client.post(path, readFile(sheetPath), "text/csv");
    if (!answer.body.is_object()) {
        std::cerr << "no answer from the node\n";
        return exitUnavailable;
    }
    const auto result = answer.body.value("result", "error");
    if (result == "accepted") {
        std::cout << "accepted as revision " << answer.body["head"]["revision"] << "\n";
        return exitOk;
    }
    printFindings(answer.body.value("errors", Json::array()), "error");
    if (result == "conflict")
        std::cerr << "revision " << answer.body["head"]["revision"] << " was accepted first, by "
                  << answer.body["head"]["accepted_by"] << "\n";
    std::cerr << "plan not accepted: " << result << "\n";
    return result == "not_accepted" || result == "unknown" ? exitUnavailable : exitRefused;
}

int showStatus(OperatorClient& client, bool isJson)
{
    const auto answer = client.get("/operator/status");
    if (answer.status != 200) {
        std::cerr << "no status from the node (HTTP " << answer.status << ")\n";
        return answer.status == 401 ? exitRefused : exitUnavailable;
    }
    if (isJson) {
        std::cout << answer.body.dump(2) << "\n";
        return exitOk;
    }
    std::cout << "node " << answer.body["node"].get<std::string>() << ", plan revision " << answer.body["plan_revision"]
              << "\n";
    for (const auto& member : answer.body["members"])
        std::cout << "member " << member["node"].get<std::string>() << "  " << member["peer_address"].get<std::string>()
                  << "  " << member["failure_domain"].get<std::string>() << "\n";
    for (const auto& target : answer.body["targets"]) {
        std::cout << "target " << target["target"].get<std::string>() << "  " << target["pool"].get<std::string>()
                  << "  " << target["failure_domain"].get<std::string>() << " ";
        for (const auto& artifact : target["artifacts"])
            std::cout << " " << artifact.get<std::string>();
        std::cout << "\n";
    }
    return exitOk;
}

int runCommand(const cxxopts::ParseResult& arguments, const std::vector<std::string>& words)
{
    const auto token = arguments.count("token-file") ? readFile(arguments["token-file"].as<std::string>())
                                                     : arguments["token"].as<std::string>();
    OperatorClient client(arguments["node"].as<std::string>(), token);
    if (words.size() == 1 && words[0] == "status")
        return showStatus(client, arguments.count("json") > 0);
    if (words.size() == 3 && words[0] == "plan" && words[1] == "accept")
        return acceptPlan(client, arguments, words[2]);
    if (words.size() == 2 && words[0] == "hash-token") {
        std::cout << hashToken(words[1]) << "\n";
        return exitOk;
    }
    std::cerr << "cyclamenstairctl: unknown command; see --help\n";
    return exitUsage;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options(
        "cyclamenstairctl", "Operators' tool.\n\nCommands:\n  plan accept SHEET.csv\n  status\n  hash-token TOKEN");
    options.add_options()(
        "node", "Operator address of any node", cxxopts::value<std::string>()->default_value("127.0.0.1:8081"))(
        "token", "Operator token", cxxopts::value<std::string>()->default_value(""))(
        "token-file", "File that holds the operator token", cxxopts::value<std::string>())(
        "operator", "Name for the audit trail", cxxopts::value<std::string>()->default_value("operator"))(
        "reason", "Reason for the audit trail", cxxopts::value<std::string>()->default_value(""))(
        "expected-revision", "Revision that the change is based on", cxxopts::value<uint64_t>())("json", "Print JSON")(
        "h,help", "Print this help")("words", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({ "words" });
    options.positional_help("COMMAND");
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") || !arguments.count("words")) {
            std::cout << options.help();
            return arguments.count("help") ? exitOk : exitUsage;
        }
        return runCommand(arguments, arguments["words"].as<std::vector<std::string>>());
    } catch (const std::exception& exception) {
        std::cerr << "cyclamenstairctl: " << exception.what() << "\n";
        return exitUsage;
    }
}
