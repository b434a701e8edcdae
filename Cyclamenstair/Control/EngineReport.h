#pragma once

#include <Cyclamenstair/Fleet/TargetRecord.h>

namespace cyclamenstair {

/// Status report of an engine. Its state is some hundred milliseconds old when it is received.
struct EngineReport {
    std::vector<LoadedModel> models;
    std::set<std::string> cachedModels; ///< Models whose weights the target caches in main memory or on disk.
    uint32_t loadingAdapters { 0 }; ///< Adapters that are being loaded; each occupies a slot.
    bool isBusy { false }; ///< A model load or unload is in progress.
    int64_t acceptedOrders { 0 }; ///< Number of orders accepted since the target's start.
    int64_t startedUnixMs { 0 };
    uint32_t running { 0 }; ///< Requests that are running at the target.
};

} // namespace cyclamenstair
