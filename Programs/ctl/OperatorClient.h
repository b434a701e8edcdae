#pragma once

#include <Cyclamenstair/Core/EnumNames.h>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <string>

namespace cyclamenstair::ctl {

/// Exit status of the tool.
enum class ExitStatus : int {
    Ok = 0,
    Refused = 1,
    Usage = 2,
    Unavailable = 3,
    Conflict = 4,
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
ExitStatus reportFailure(const OperatorAnswer& answer);

/// Returns the file's content; throws std::runtime_error if it cannot be read.
std::string readFile(const std::string& path);

} // namespace cyclamenstair::ctl

namespace cyclamenstair {

/// Meanings as printed by --help.
template <> struct EnumNames<ctl::ExitStatus> {
    static constexpr auto table = std::to_array<EnumName<ctl::ExitStatus>>({
        { ctl::ExitStatus::Ok, "done" },
        { ctl::ExitStatus::Refused, "refused: the sheet has errors, the token is wrong, or the request is not valid" },
        { ctl::ExitStatus::Usage, "wrong usage of this tool" },
        { ctl::ExitStatus::Unavailable, "no answer, the store is unavailable, or the outcome is unknown" },
        { ctl::ExitStatus::Conflict, "another plan was accepted first" },
    });
};

} // namespace cyclamenstair
