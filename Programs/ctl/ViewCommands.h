#pragma once

#include <Programs/ctl/OperatorClient.h>

namespace cyclamenstair::ctl {

ExitStatus showStatus(OperatorClient& client, bool isJson);
ExitStatus showAudit(OperatorClient& client, uint32_t limit, bool isJson);

} // namespace cyclamenstair::ctl
