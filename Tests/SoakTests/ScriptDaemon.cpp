#include <Tests/SoakTests/ScriptDaemon.h>

#include <cstdlib>
#include <fstream>
#include <stdexcept>
#include <sys/stat.h>

namespace cyclamenstair {

ScriptDaemon::ScriptDaemon(const std::string& commands, const std::string& onReload)
    : m_folder((std::filesystem::temp_directory_path() / "soak-test-XXXXXX").string())
{
    if (!::mkdtemp(m_folder.data()))
        throw std::runtime_error("cannot create a temporary folder for the test");
    const auto path = m_folder + "/daemon";
    std::ofstream(path) << "#!/bin/sh\ncd " << m_folder << "\ntrap '" << onReload << "' HUP\ntrap 'exit 0' TERM\n"
                        << commands << "\n";
    ::chmod(path.c_str(), S_IRWXU);
}

ScriptDaemon::~ScriptDaemon()
{
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

SoakStarts ScriptDaemon::starts(const std::set<std::string>& unknownKeys) const
{
    SoakStarts starts;
    starts.daemons.push_back({ m_folder + "/daemon", unknownKeys });
    return starts;
}

} // namespace cyclamenstair
