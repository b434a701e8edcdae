#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string_view>

namespace cyclamenstair {

/// Log line in a buffer of fixed size; text beyond it is cut off. Allocates nothing and takes no lock, so that it can
/// be used in a signal handler.
class FixedLine {
public:
    void append(char c);
    void append(std::string_view text);
    void appendDecimal(uint64_t number);
    void appendHex(uint64_t number);

    /// Appends "YYYY-MM-DDThh:mm:ss.uuuuuuZ".
    void appendTime(std::chrono::system_clock::time_point time);

    /// Appends " name=value", with the value quoted if needed.
    void appendField(std::string_view name, std::string_view value);
    void appendField(std::string_view name, uint64_t value);
    void appendHexField(std::string_view name, uint64_t value);

    /// Ends the line and writes it to `descriptor`, if that does not block. Returns whether all of it was written.
    bool write(int descriptor);

private:
    void appendDigits(uint64_t number, int digits);

    /// A write of at most PIPE_BUF (4096) bytes to a pipe is not mixed with those of other writers.
    std::array<char, 4096> m_text;
    size_t m_size { 0 };
};

} // namespace cyclamenstair
