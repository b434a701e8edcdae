#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenstair::ctl {

/// Text table with aligned columns.
class Table {
public:
    /// `header` is the first row and defines the number of columns.
    explicit Table(std::vector<std::string> header);

    void addRow(std::vector<std::string> cells);

    /// Prints the table to standard output.
    void print() const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

/// Formats a time, given in milliseconds since the Unix epoch, as ISO 8601 in UTC with second resolution.
std::string formatUtcTime(uint64_t unixMs);

} // namespace cyclamenstair::ctl
