#pragma once

#include <Programs/ctl/OperatorClient.h>

namespace cyclamenstair::ctl {

/// Commands that print the state of the fleet, as JSON if `isJson`. They return the exit status.
ExitStatus showStatus(OperatorClient& client, bool isJson);
ExitStatus showAudit(OperatorClient& client, uint32_t limit, bool isJson);

} // namespace cyclamenstair::ctl
