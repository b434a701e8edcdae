#pragma once

#include <cstddef>
#include <istream>
#include <string>
#include <vector>

namespace cyclamenstair {

/// Collects the log lines of one request from the logs of several processes, and adds the state of each target that the
/// request was sent to.
class RequestTrace {
public:
    explicit RequestTrace(std::string requestId)
        : m_requestId(std::move(requestId))
    {
    }

    /// Reads the log of a process; `source` names it in the output. Text before the time of a line, such as a log
    /// collector's prefix, is preserved.
    void readLog(const std::string& source, std::istream& log);

    /// Returns the lines of the request, sorted by time. Each line starts with its source. The start of an attempt is
    /// preceded by the last earlier line about its target in the same log.
    std::vector<std::string> lines() const;

    /// Number of lines without a time or an event, such as truncated ones.
    size_t malformedLineCount() const { return m_malformedLineCount; }

private:
    struct Line {
        std::string time;
        size_t readOrder { 0 }; ///< Orders lines with equal times.
        std::string text;
    };

    std::string m_requestId;
    std::vector<Line> m_lines;
    size_t m_malformedLineCount { 0 };
};

} // namespace cyclamenstair
