#pragma once

#include <Benchmarks/Soak/SettingsTemplate.h>

#include <platform/SiteFile.h>

#include <set>
#include <string>
#include <vector>

namespace cyclamenstair {

/// Settings of a run of a deployment's day.
struct DaySettings {
    Site site;
    SiteDay day;
    uint64_t seed { 1 };
    Duration length {}; ///< Of the traffic up to the closing fault.
    std::vector<std::string> daemons; ///< Of which each start takes one by chance.
    std::string settingsTemplate; ///< Text, which the platform fills in for each node.
    NumberForm numberForm { NumberForm::Whole }; ///< In which the platform fills in numbers.
    std::set<SiteEventKind> leftOut; ///< Kinds of events that are not played.
    bool isStressed { false }; ///< Also signals in series.
    bool fillsStore { false }; ///< Another writer fills the store, see StoreFiller.
    bool stepsClocks { false }; ///< The daemons are linked with the library that shifts their time of day.
    bool isThrottled { false }; ///< Processes get no more than their processor share.

    bool plays(SiteEventKind kind) const { return !leftOut.contains(kind); }
};

} // namespace cyclamenstair
