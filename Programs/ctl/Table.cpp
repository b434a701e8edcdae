#include <Programs/ctl/Table.h>

#include <algorithm>
#include <array>
#include <ctime>
#include <iostream>

namespace cyclamenstair::ctl {

Table::Table(std::vector<std::string> header) { m_rows.push_back(std::move(header)); }

void Table::addRow(std::vector<std::string> cells) { m_rows.push_back(std::move(cells)); }

void Table::print() const
{
    std::vector<size_t> widths(m_rows.front().size(), 0);
    for (const auto& row : m_rows) {
        for (size_t column = 0; column < widths.size(); ++column)
            widths[column] = std::max(widths[column], row[column].size());
    }
    for (const auto& row : m_rows) {
        std::string line;
        for (size_t column = 0; column < widths.size(); ++column) {
            line += row[column];
            if (column + 1 < widths.size())
                line += std::string(widths[column] - row[column].size() + 2, ' ');
        }
        std::cout << line << "\n";
    }
}

std::string formatUtcTime(uint64_t unixMs)
{
    const auto seconds = static_cast<std::time_t>(unixMs / 1000);
    std::tm calendarTime {};
    gmtime_r(&seconds, &calendarTime);
    std::array<char, 32> text {};
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &calendarTime);
    return text.data();
}

} // namespace cyclamenstair::ctl
