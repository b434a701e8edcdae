#include <Programs/ctl/ExplainCommand.h>

#include <Cyclamenstair/Telemetry/RequestTrace.h>

#include <fstream>
#include <iostream>

namespace cyclamenstair::ctl {

ExitStatus explainRequest(const std::string& requestId, const std::vector<std::string>& logPaths)
{
    RequestTrace trace(requestId);
    for (const auto& path : logPaths) {
        std::ifstream log(path);
        if (!log) {
            std::cerr << "cyclamenstairctl: cannot read " << path << "\n";
            return ExitStatus::Usage;
        }
        trace.readLog(path, log);
    }
    const auto lines = trace.lines();
    for (const auto& line : lines)
        std::cout << line << "\n";
    if (lines.empty())
        std::cout << "no log lines of request " << requestId << "\n";
    if (trace.malformedLineCount() > 0)
        std::cout << trace.malformedLineCount() << " malformed lines without a time or an event\n";
    return ExitStatus::Ok;
}

} // namespace cyclamenstair::ctl
