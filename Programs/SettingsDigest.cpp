#include <Programs/SettingsDigest.h>

#include <Cyclamenstair/Core/Crypto.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace cyclamenstair {

ProcessStart describeSettings(const std::string& path)
{
    ProcessStart start;
    start.settingsFile = path;
    std::error_code ec;
    std::ifstream file;
    if (std::filesystem::is_regular_file(path, ec))
        file.open(path);
    std::ostringstream text;
    if (file.is_open() && text << file.rdbuf()) {
        start.settingsBytes = text.view().size();
        start.settingsHash = sha256Hex(text.view());
    }
    return start;
}

} // namespace cyclamenstair
