#pragma once

#include <Programs/ctl/OperatorClient.h>

#include <optional>

namespace cyclamenstair::ctl {

/// Arguments of `plan accept`.
struct AcceptArguments {
    std::string sheetPath;
    std::string operatorName;
    std::string reason;
    std::optional<uint64_t> expectedRevision; ///< Revision that the sheet is based on; by default the node's.
    std::optional<std::string> acceptanceId; ///< Id of an earlier attempt with unknown outcome, to retry it.
};

/// Commands of `cyclamenstairctl plan`. They print their result, as JSON if `isJson`, and return the exit status.
ExitStatus acceptPlan(OperatorClient& client, const AcceptArguments& arguments, bool isJson);
ExitStatus checkPlan(OperatorClient& client, const std::string& sheetPath, bool isJson);
ExitStatus diffPlan(OperatorClient& client, const std::string& sheetPath, bool isJson);
ExitStatus showPlan(OperatorClient& client, bool isJson);
ExitStatus showPlanHistory(OperatorClient& client, bool isJson);

} // namespace cyclamenstair::ctl
