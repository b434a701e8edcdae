#include <Cyclamenstair/Routing/RetryBudget.h>

#include <algorithm>

namespace cyclamenstair {

namespace {

    /// Returns what a bucket holds at most. A bucket below one attempt would never allow any.
    double maxSaved(const RetryAllowance& allowance) { return std::max(1.0, allowance.burst); }

} // namespace

RetryAllowance RetryBudget::perTarget() const
{
    // Parts below half an attempt would still let each node begin with a whole one, and all of them together with more
    // than is allowed. Such nodes save up from their attempts only.
    constexpr double leastBurst = 0.5;
    const double nodes = m_nodes;
    if (m_perTarget.burst / nodes < leastBurst)
        return { m_perTarget.share, 0, 0 };
    return { m_perTarget.share, m_perTarget.perSecond / nodes, m_perTarget.burst / nodes };
}

void RetryBudget::countAttempt(const std::string& target, TimePoint now)
{
    m_targets.withShard(target, [&](Buckets& buckets) { count(buckets[target], perTarget(), now); });
    std::lock_guard lock(m_totalMutex);
    count(m_totalBucket, m_total, now);
}

bool RetryBudget::take(const std::string& target, TimePoint now)
{
    const bool isAllowed
        = m_targets.withShard(target, [&](Buckets& buckets) { return takeFrom(buckets[target], perTarget(), now); });
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
        bucket.saved = std::min(maxSaved(perTarget()), bucket.saved + 1);
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
    bucket.saved = std::min(maxSaved(allowance), bucket.saved + allowance.perSecond * toSeconds(now - bucket.filledAt));
    bucket.filledAt = now;
}

void RetryBudget::count(Bucket& bucket, const RetryAllowance& allowance, TimePoint now)
{
    fill(bucket, allowance, now);
    bucket.saved = std::min(maxSaved(allowance), bucket.saved + allowance.share);
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
