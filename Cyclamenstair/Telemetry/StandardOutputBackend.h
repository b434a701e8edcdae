#pragma once

#include <boost/log/core/record_view.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/frontend_requirements.hpp>

#include <cstdint>
#include <string>

namespace cyclamenstair {

/// Writes the lines of the log to standard output. A failed write has no effect on later lines, unlike that of a
/// std::ostream, which stays in its failed state. Only the log's thread uses it.
class StandardOutputBackend
    : public boost::log::sinks::basic_formatted_sink_backend<char, boost::log::sinks::synchronized_feeding> {
public:
    /// Writes the line; waits while standard output is non-blocking and full. The field `dropped` tells the number of
    /// lines that were lost before it.
    void consume(const boost::log::record_view& record, const std::string& line);

private:
    uint64_t m_reportedLosses { 0 };
    bool m_isLineCut { false }; ///< A line was written in part.
};

} // namespace cyclamenstair
