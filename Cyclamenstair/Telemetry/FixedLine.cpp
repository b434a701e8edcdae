#include <Cyclamenstair/Telemetry/FixedLine.h>

#include <Cyclamenstair/Telemetry/LogValue.h>

#include <poll.h>
#include <unistd.h>

namespace cyclamenstair {

void FixedLine::append(char c)
{
    // One byte is kept for the end of the line.
    if (m_size + 1 < m_text.size())
        m_text[m_size++] = c;
}

void FixedLine::append(std::string_view text)
{
    for (const char c : text)
        append(c);
}

void FixedLine::appendDecimal(uint64_t number)
{
    int digits = 1;
    for (auto rest = number / 10; rest > 0; rest /= 10)
        ++digits;
    appendDigits(number, digits);
}

void FixedLine::appendHex(uint64_t number)
{
    append("0x");
    int shift = 60;
    while (shift > 0 && (number >> shift) == 0)
        shift -= 4;
    for (; shift >= 0; shift -= 4)
        append("0123456789abcdef"[(number >> shift) & 0xF]);
}

void FixedLine::appendTime(std::chrono::system_clock::time_point time)
{
    // The functions of <ctime> may take the lock of the time zone.
    const auto day = std::chrono::floor<std::chrono::days>(time);
    const std::chrono::year_month_day date(day);
    const std::chrono::hh_mm_ss clock(std::chrono::floor<std::chrono::microseconds>(time - day));
    appendDigits(static_cast<uint64_t>(static_cast<int>(date.year())), 4);
    append('-');
    appendDigits(static_cast<unsigned>(date.month()), 2);
    append('-');
    appendDigits(static_cast<unsigned>(date.day()), 2);
    append('T');
    appendDigits(static_cast<uint64_t>(clock.hours().count()), 2);
    append(':');
    appendDigits(static_cast<uint64_t>(clock.minutes().count()), 2);
    append(':');
    appendDigits(static_cast<uint64_t>(clock.seconds().count()), 2);
    append('.');
    appendDigits(static_cast<uint64_t>(clock.subseconds().count()), 6);
    append('Z');
}

void FixedLine::appendField(std::string_view name, std::string_view value)
{
    append(' ');
    append(name);
    append('=');
    formatLogValue(value, [this](char c) { append(c); });
}

void FixedLine::appendField(std::string_view name, uint64_t value)
{
    append(' ');
    append(name);
    append('=');
    appendDecimal(value);
}

void FixedLine::appendHexField(std::string_view name, uint64_t value)
{
    append(' ');
    append(name);
    append('=');
    appendHex(value);
}

bool FixedLine::write(int descriptor)
{
    // A writable pipe has room for PIPE_BUF bytes. A full one would hold up the end of the process.
    pollfd state { descriptor, POLLOUT, 0 };
    if (::poll(&state, 1, 0) != 1 || (state.revents & POLLOUT) == 0)
        return false;
    m_text[m_size] = '\n';
    return ::write(descriptor, m_text.data(), m_size + 1) == static_cast<ssize_t>(m_size + 1);
}

void FixedLine::appendDigits(uint64_t number, int digits)
{
    uint64_t divisor = 1;
    for (int i = 1; i < digits; ++i)
        divisor *= 10;
    for (; divisor > 0; divisor /= 10)
        append(static_cast<char>('0' + number / divisor % 10));
}

} // namespace cyclamenstair
