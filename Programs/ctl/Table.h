#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenstair::ctl {

/// Table of texts with aligned columns.
class Table {
public:
    explicit Table(std::vector<std::string> header);

    void addRow(std::vector<std::string> cells);
    void print() const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

/// Returns the time in UTC, to the second.
std::string timeText(uint64_t unixMs);

} // namespace cyclamenstair::ctl
