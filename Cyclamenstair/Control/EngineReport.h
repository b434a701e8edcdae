#pragma once

#include <Cyclamenstair/Fleet/TargetRecord.h>

namespace cyclamenstair {

/// What an engine says about itself when it is asked. It is some hundred milliseconds old.
struct EngineReport {
    std::vector<HeldModel> models;
    std::set<std::string> cachedModels; ///< Weights in main memory or on disk.
    uint32_t incomingAdapters { 0 }; ///< Adapters on their way; they use places.
    bool isBusy { false }; ///< A model order is in progress.
    int64_t ordersAccepted { 0 }; ///< Since the target's start.
    int64_t startedUnixMs { 0 };
    uint32_t running { 0 };
};

} // namespace cyclamenstair
