#pragma once

#include <string>

namespace cyclamenstair {

/// Prefixes of gossip keys. The id of the member or target follows.
inline const std::string memberKeyPrefix = "member/";
inline const std::string targetKeyPrefix = "target/";

/// Key prefix under which nodes publish the demand that they see. The node's id follows.
inline const std::string demandKeyPrefix = "demand/";

/// Key under which nodes announce the revision of their plan.
inline const std::string planKeyPrefix = "plan/";

/// Key under which nodes tell each other the callers' demands.
inline const std::string usageKeyPrefix = "usage/";

} // namespace cyclamenstair
