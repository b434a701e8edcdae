#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace cyclamenstair::load {

/// Histogram of durations with buckets that grow by a constant ratio, so that every percentile has the same relative
/// error (under 3.2%).
class LogHistogram {
public:
    /// Adds a duration in milliseconds. Values outside of 1 microsecond to about 1 hour fall into the outermost
    /// buckets.
    void add(double ms);

    /// Adds all values of `other`.
    void merge(const LogHistogram& other);

    uint64_t count() const { return m_count; }

    /// Returns the value in milliseconds below which the share `share` (0 to 1) of the values lies; 0 without values.
    double percentile(double share) const;

private:
    static constexpr size_t bucketsPerDoubling = 22;
    static constexpr size_t bucketCount = 32 * bucketsPerDoubling;
    static constexpr double leastMs = 0.001;

    std::array<uint64_t, bucketCount> m_buckets {};
    uint64_t m_count { 0 };
};

} // namespace cyclamenstair::load
