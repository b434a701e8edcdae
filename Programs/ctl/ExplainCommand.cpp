#include <Programs/ctl/ExplainCommand.h>

#include <Cyclamenstair/Telemetry/RequestStory.h>

#include <fstream>
#include <iostream>

namespace cyclamenstair::ctl {

ExitStatus explainRequest(const std::string& requestId, const std::vector<std::string>& logPaths)
{
    RequestStory story(requestId);
    for (const auto& path : logPaths) {
        std::ifstream log(path);
        if (!log) {
            std::cerr << "cyclamenstairctl: cannot read " << path << "\n";
            return ExitStatus::Usage;
        }
        story.read(path, log);
    }
    const auto lines = story.lines();
    for (const auto& line : lines)
        std::cout << line << "\n";
    if (lines.empty())
        std::cout << "no line of request " << requestId << "\n";
    if (story.malformedLines() > 0)
        std::cout << story.malformedLines() << " lines without a time and an event\n";
    return ExitStatus::Ok;
}

} // namespace cyclamenstair::ctl
