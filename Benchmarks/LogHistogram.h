#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace cyclamenstair::load {

/// Histogram of durations with logarithmic buckets. The relative error of every percentile is below 3.2%.
class LogHistogram {
public:
    /// Adds a duration in milliseconds. Values outside 1 microsecond to about 1 hour are counted in the outermost
    /// buckets.
    void add(double ms);

    /// Adds all values of `other`.
    void merge(const LogHistogram& other);

    uint64_t count() const { return m_count; }

    /// Returns the value in milliseconds that the fraction `share` (0 to 1) of the values does not exceed; 0 if empty.
    double percentile(double share) const;

private:
    static constexpr size_t bucketsPerDoubling = 22;
    static constexpr size_t bucketCount = 32 * bucketsPerDoubling;
    static constexpr double minMs = 0.001;

    std::array<uint64_t, bucketCount> m_buckets {};
    uint64_t m_count { 0 };
};

} // namespace cyclamenstair::load
