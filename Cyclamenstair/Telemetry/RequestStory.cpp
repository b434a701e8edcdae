#include <Cyclamenstair/Telemetry/RequestStory.h>

#include <algorithm>
#include <map>
#include <tuple>

namespace cyclamenstair {

namespace {

    /// Returns the value of a field of a log line; empty if the line has none of that name.
    std::string fieldOf(const std::string& line, const std::string& name)
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

void RequestStory::read(const std::string& source, std::istream& log)
{
    const std::string prefix = source + ": ";
    std::map<std::string, std::string> targetStates;
    for (std::string line; std::getline(log, line);) {
        const auto time = fieldOf(line, "time");
        const auto event = fieldOf(line, "event");
        if (time.empty() || event.empty()) {
            m_malformedLines += line.empty() ? 0 : 1;
            continue;
        }
        const auto target = fieldOf(line, "target");
        const auto request = fieldOf(line, "request");
        if (request.empty() && !target.empty())
            targetStates[target] = line;
        if (request != m_requestId)
            continue;
        const auto state = targetStates.find(target);
        if (event == "attempt_started" && state != targetStates.end())
            m_lines.push_back({ time, m_lines.size(), prefix + "  state of the target: " + state->second });
        m_lines.push_back({ time, m_lines.size(), prefix + line });
    }
}

std::vector<std::string> RequestStory::lines() const
{
    auto ordered = m_lines;
    std::sort(ordered.begin(), ordered.end(),
        [](const Line& a, const Line& b) { return std::tie(a.time, a.number) < std::tie(b.time, b.number); });
    std::vector<std::string> texts;
    for (const auto& line : ordered)
        texts.push_back(line.text);
    return texts;
}

} // namespace cyclamenstair
