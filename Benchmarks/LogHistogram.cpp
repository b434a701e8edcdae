#include <Benchmarks/LogHistogram.h>

#include <algorithm>
#include <cmath>

namespace cyclamenstair::load {

void LogHistogram::add(double ms)
{
    const double position = std::log2(std::max(ms, minMs) / minMs) * bucketsPerDoubling;
    ++m_buckets[std::min(static_cast<size_t>(position), bucketCount - 1)];
    ++m_count;
}

void LogHistogram::merge(const LogHistogram& other)
{
    for (size_t bucket = 0; bucket < bucketCount; ++bucket)
        m_buckets[bucket] += other.m_buckets[bucket];
    m_count += other.m_count;
}

double LogHistogram::percentile(double share) const
{
    const auto rank = static_cast<uint64_t>(std::ceil(share * static_cast<double>(m_count)));
    uint64_t cumulativeCount = 0;
    for (size_t bucket = 0; bucket < bucketCount; ++bucket) {
        cumulativeCount += m_buckets[bucket];
        if (cumulativeCount > 0 && cumulativeCount >= rank)
            return minMs * std::exp2((static_cast<double>(bucket) + 0.5) / bucketsPerDoubling);
    }
    return 0;
}

} // namespace cyclamenstair::load
