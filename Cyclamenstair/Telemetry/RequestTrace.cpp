#include <Cyclamenstair/Telemetry/RequestTrace.h>

#include <algorithm>
#include <map>
#include <tuple>

namespace cyclamenstair {

namespace {

    /// Returns the value of the field `name` of a log line, or an empty string if the line has no such field.
    std::string findField(const std::string& line, const std::string& name)
    {
        const auto token = name + "=";
        size_t start = line.find(token);
        while (start != std::string::npos && start > 0 && line[start - 1] != ' ')
            start = line.find(token, start + 1);
        if (start == std::string::npos)
            return {};
        start += token.size();
        return line.substr(start, line.find(' ', start) - start);
    }

} // namespace

void RequestTrace::readLog(const std::string& source, std::istream& log)
{
    const std::string prefix = source + ": ";
    std::map<std::string, std::string> lastTargetLines;
    for (std::string line; std::getline(log, line);) {
        const auto time = findField(line, "time");
        const auto event = findField(line, "event");
        if (time.empty() || event.empty()) {
            m_malformedLineCount += line.empty() ? 0 : 1;
            continue;
        }
        const auto target = findField(line, "target");
        const auto request = findField(line, "request");
        if (request.empty() && !target.empty())
            lastTargetLines[target] = line;
        if (request != m_requestId)
            continue;
        const auto targetLine = lastTargetLines.find(target);
        if (event == "attempt_started" && targetLine != lastTargetLines.end())
            m_lines.push_back({ time, m_lines.size(), prefix + "  target state: " + targetLine->second });
        m_lines.push_back({ time, m_lines.size(), prefix + line });
    }
}

std::vector<std::string> RequestTrace::lines() const
{
    auto sortedLines = m_lines;
    std::sort(sortedLines.begin(), sortedLines.end(),
        [](const Line& a, const Line& b) { return std::tie(a.time, a.readOrder) < std::tie(b.time, b.readOrder); });
    std::vector<std::string> texts;
    for (const auto& line : sortedLines)
        texts.push_back(line.text);
    return texts;
}

} // namespace cyclamenstair
