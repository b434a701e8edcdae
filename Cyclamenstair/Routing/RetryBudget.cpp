#include <Cyclamenstair/Routing/RetryBudget.h>

#include <algorithm>

namespace cyclamenstair {

void RetryBudget::countAttempt(const std::string& target, TimePoint now)
{
    m_targets.withShard(target, [&](Buckets& buckets) { count(buckets[target], m_perTarget, now); });
    std::lock_guard lock(m_totalMutex);
    count(m_totalBucket, m_total, now);
}

bool RetryBudget::take(const std::string& target, TimePoint now)
{
    const bool isAllowed
        = m_targets.withShard(target, [&](Buckets& buckets) { return takeFrom(buckets[target], m_perTarget, now); });
    if (!isAllowed)
        return false;
    {
        std::lock_guard lock(m_totalMutex);
        if (takeFrom(m_totalBucket, m_total, now))
            return true;
    }
    // The two locks are never held together; the target's share goes back if the total refuses.
    m_targets.withShard(target, [&](Buckets& buckets) {
        auto& bucket = buckets[target];
        bucket.saved = std::min(m_perTarget.burst, bucket.saved + 1);
    });
    return false;
}

void RetryBudget::fill(Bucket& bucket, const RetryAllowance& allowance, TimePoint now)
{
    if (bucket.isNew) {
        bucket = { allowance.burst, now, false };
        return;
    }
    if (now <= bucket.filledAt)
        return;
    bucket.saved = std::min(allowance.burst, bucket.saved + allowance.perSecond * toSeconds(now - bucket.filledAt));
    bucket.filledAt = now;
}

void RetryBudget::count(Bucket& bucket, const RetryAllowance& allowance, TimePoint now)
{
    fill(bucket, allowance, now);
    bucket.saved = std::min(allowance.burst, bucket.saved + allowance.share);
}

bool RetryBudget::takeFrom(Bucket& bucket, const RetryAllowance& allowance, TimePoint now)
{
    fill(bucket, allowance, now);
    if (bucket.saved < 1)
        return false;
    bucket.saved -= 1;
    return true;
}

} // namespace cyclamenstair
