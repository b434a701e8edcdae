#pragma once

#include <Benchmarks/Soak/SoakNode.h>

#include <filesystem>
#include <string>

namespace cyclamenstair {

/// Folder with a script in place of the daemon, which runs `commands` after it has set traps: SIGHUP runs `onReload`,
/// SIGTERM ends it with status 0. The folder is removed at the end.
class ScriptDaemon {
public:
    explicit ScriptDaemon(const std::string& commands, const std::string& onReload = ":");
    ~ScriptDaemon();
    ScriptDaemon(const ScriptDaemon&) = delete;
    ScriptDaemon& operator=(const ScriptDaemon&) = delete;

    const std::string& folder() const { return m_folder; }
    SoakStarts starts(const std::set<std::string>& unknownKeys = {}) const;

private:
    std::string m_folder;
};

} // namespace cyclamenstair
