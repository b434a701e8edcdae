#include <Tests/SoakTests/ProcessState.h>

#include <fstream>
#include <sstream>
#include <string>

namespace cyclamenstair {

bool isStopped(pid_t process)
{
    std::ostringstream text;
    text << std::ifstream("/proc/" + std::to_string(process) + "/stat").rdbuf();
    // The state follows the name, which may contain brackets itself.
    const auto name = text.str().rfind(')');
    return name != std::string::npos && text.str().at(name + 2) == 'T';
}

} // namespace cyclamenstair
