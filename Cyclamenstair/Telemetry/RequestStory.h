#pragma once

#include <cstddef>
#include <istream>
#include <string>
#include <vector>

namespace cyclamenstair {

/// Collects the log lines of one request from the logs of several processes, with the lines that tell the state of the
/// targets that it was sent to.
class RequestStory {
public:
    explicit RequestStory(std::string requestId)
        : m_requestId(std::move(requestId))
    {
    }

    /// Reads a process's log. Text before a line's time, such as a collector's prefix, is kept.
    void read(const std::string& source, std::istream& log);

    /// Returns the request's lines in the order of their times; before each attempt the last line that told the state
    /// of its target on the same process. Each line begins with its source.
    std::vector<std::string> lines() const;

    /// Lines without a time and an event, for example because they were cut.
    size_t malformedLines() const { return m_malformedLines; }

private:
    struct Line {
        std::string time;
        size_t number { 0 }; ///< Keeps the order of lines with equal times.
        std::string text;
    };

    std::string m_requestId;
    std::vector<Line> m_lines;
    size_t m_malformedLines { 0 };
};

} // namespace cyclamenstair
