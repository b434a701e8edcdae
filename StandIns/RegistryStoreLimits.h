#pragma once

#include <StandIns/RegistryStoreCall.h>

#include <optional>

namespace cyclamenstair {

/// Bounds of the store's protocol. The defaults are those of the platform, except for the rates and the history, which
/// are unbounded, so that tests of other subjects do not depend on the machine's speed.
struct RegistryStoreLimits {
    size_t maxKeyBytes { 200 };
    size_t maxValueBytes { 1048576 }; ///< Decoded.
    size_t maxTransactionEntries { 32 }; ///< Of conditions, writes and removals together.
    int64_t minLeaseMs { 1000 };
    int64_t maxLeaseMs { 600000 };
    int64_t maxWatchWaitMs { 30000 };
    std::vector<std::string> protectedPrefixes { "op/", "servers/" }; ///< Not changed by transactions.
    std::optional<size_t> maxWritesPerSecond {}; ///< Of all callers; the platform's is 400.
    std::optional<size_t> maxReadsPerSecond {}; ///< Of all callers; the platform's is 2,000.
    std::optional<Duration> maxHistoryAge {}; ///< The platform's is 20 s, sometimes less.
};

/// Why a call is not executed.
struct RegistryStoreRejection {
    uint32_t status { 0 };
    std::string reason;
};

/// Returns why the call is beyond the limits: 400, or 403 for a change below a protected prefix.
std::optional<RegistryStoreRejection> checkLimits(const RegistryStoreCall& call, const RegistryStoreLimits& limits);

} // namespace cyclamenstair
