#pragma once

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <string>

namespace cyclamenstair::ctl {

/// Exit status of the tool; listed in --help.
enum ExitStatus : int {
    exitOk = 0,
    exitRefused = 1, ///< Refused: findings in the sheet, a wrong token, or the request is not valid.
    exitUsage = 2,
    exitUnavailable = 3, ///< No answer, the store is unavailable, or the outcome is unknown.
    exitConflict = 4, ///< Another plan was accepted first.
};

/// Answer of a node to an operator's call; status 0 if there was none.
struct OperatorAnswer {
    int status { 0 };
    std::string text;
    nlohmann::json body; ///< The text as JSON, or a discarded value if it is none.
    httplib::Headers headers;
};

/// Calls the operators' API of one node.
class OperatorClient {
public:
    OperatorClient(const std::string& endpoint, const std::string& token);

    OperatorAnswer get(const std::string& path);
    OperatorAnswer post(const std::string& path, const std::string& body, const std::string& contentType);

private:
    static OperatorAnswer answerOf(const httplib::Result& result);

    httplib::Client m_client;
    httplib::Headers m_headers;
};

/// Prints why a call failed; returns the exit status.
int reportFailure(const OperatorAnswer& answer);

/// Returns the file's content; throws std::runtime_error if it cannot be read.
std::string readFile(const std::string& path);

} // namespace cyclamenstair::ctl
