#pragma once

#include <Cyclamenstair/Core/EnumNames.h>
#include <Cyclamenstair/Http/HttpExchange.h>

#include <nlohmann/json.hpp>

#include <string>

namespace cyclamenstair::ctl {

/// Exit status of cyclamenstairctl.
enum class ExitStatus : int {
    Ok = 0,
    Refused = 1,
    Usage = 2,
    Unavailable = 3,
    Conflict = 4,
};

/// Response of a node to an operator's request.
struct OperatorResponse {
    uint32_t status { 0 }; ///< HTTP status; 0 if there was no valid response.
    std::string text; ///< Response body.
    nlohmann::json body; ///< The body parsed as JSON; a discarded value if it is not valid JSON.
    HeaderFields fields;
    std::string failure; ///< Why there was no valid response.
};

/// Client of the operator API of a node.
class OperatorClient {
public:
    /// `endpoint` is "HOST:PORT" of the operator API.
    OperatorClient(const std::string& endpoint, const std::string& token);

    OperatorResponse get(const std::string& path);
    OperatorResponse post(const std::string& path, const std::string& body, const std::string& contentType);

private:
    OperatorResponse send(HttpRequest request) const;

    std::string m_endpoint;
    std::string m_token;
};

/// Prints the reason of a failed request and returns the exit status for it.
ExitStatus reportFailure(const OperatorResponse& response);

/// Returns the content of a file; throws std::runtime_error if it cannot be opened.
std::string readFile(const std::string& path);

} // namespace cyclamenstair::ctl

namespace cyclamenstair {

/// Descriptions printed by --help.
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
