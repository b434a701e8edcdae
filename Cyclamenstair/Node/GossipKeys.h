#pragma once

#include <string>

namespace cyclamenstair {

/// Prefixes of gossip keys, followed by the id of the member or target.
inline const std::string memberKeyPrefix = "member/";
inline const std::string targetKeyPrefix = "target/";

/// Prefix of the keys under which nodes publish their measured demand, followed by the node id.
inline const std::string demandKeyPrefix = "demand/";

/// Prefix of the keys under which nodes publish the revision of their plan.
inline const std::string planKeyPrefix = "plan/";

/// Prefix of the keys under which nodes publish the usage of callers.
inline const std::string usageKeyPrefix = "usage/";

} // namespace cyclamenstair
