#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <vector>

namespace cyclamenstair {

/// Returns the median of `values` (the upper one for an even count), or `fallback` if there are none.
inline double medianOf(std::vector<double> values, double fallback)
{
    if (values.empty())
        return fallback;
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

/// Ring buffer of the last `capacity` samples. Its median is robust to outliers even with few samples.
template <size_t capacity> class SampleWindow {
public:
    void add(double sample)
    {
        m_samples[m_next] = sample;
        m_next = (m_next + 1) % capacity;
        m_count = std::min(m_count + 1, capacity);
    }

    size_t count() const { return m_count; }
    void clear() { m_count = m_next = 0; }

    double median(double fallback) const
    {
        return medianOf({ m_samples.begin(), m_samples.begin() + static_cast<std::ptrdiff_t>(m_count) }, fallback);
    }

private:
    std::array<double, capacity> m_samples {};
    size_t m_next { 0 };
    size_t m_count { 0 };
};

} // namespace cyclamenstair
