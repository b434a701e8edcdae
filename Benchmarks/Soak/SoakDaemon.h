#pragma once

#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace cyclamenstair {

/// Keys and values of a settings file, by section.
using SoakNodeSettings = std::map<std::string, std::map<std::string, std::string>>;

/// Text of a settings file, as the platform renders it, and the addresses that it contains.
struct SoakSettingsText {
    std::string text;
    std::string callerAddress;
    std::string probeAddress;
};

/// Settings of a node, by section or as a text.
using SoakSettingsSource = std::variant<SoakNodeSettings, SoakSettingsText>;

/// A build of the daemon that nodes of a soak run.
struct SoakDaemon {
    std::string program; ///< Absolute path, or a path in the build folder.
    std::set<std::string> unknownKeys; ///< Keys that the daemon does not know and that its settings leave out.
    bool takesSettingsVariable {
        false
    }; ///< Reads the file that the environment names, as a deployment's platform does.
};

/// Command line and environment that name the settings file of a process.
struct SoakSettingsReference {
    std::vector<std::string> arguments;
    std::map<std::string, std::string> variables;
};

/// Names the file as a deployment's platform does if the daemon takes that, otherwise by the command line.
SoakSettingsReference referToSettings(const std::string& path, const SoakDaemon& daemon);

/// Returns the text of a settings file without the keys that the daemon does not know.
std::string formatSettings(const SoakSettingsSource& settings, const SoakDaemon& daemon);

/// Returns the address for callers.
std::string callerAddressOf(const SoakSettingsSource& settings);

/// Returns the address for the readiness probe.
std::string probeAddressOf(const SoakSettingsSource& settings);

/// Finds the keys of the settings that a daemon does not know with its option `--check`, by files in `folder`. Throws
/// std::runtime_error if the daemon rejects the settings for another reason.
SoakDaemon probeDaemon(const std::string& program, const SoakSettingsSource& settings, const std::string& folder);

} // namespace cyclamenstair
