#pragma once

#include <Programs/ctl/OperatorClient.h>

namespace cyclamenstair::ctl {

int showStatus(OperatorClient& client, bool isJson);
int showAudit(OperatorClient& client, uint32_t limit, bool isJson);

} // namespace cyclamenstair::ctl
