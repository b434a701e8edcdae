#include <Cyclamenstair/Routing/RetryBudget.h>

#include <algorithm>

namespace cyclamenstair {

namespace {

    /// Returns the capacity of a bucket. A capacity below 1 would never allow an attempt.
    double maxCredit(const RetryAllowance& allowance) { return std::max(1.0, allowance.burst); }

} // namespace

RetryAllowance RetryBudget::targetAllowanceOfNode() const
{
    // A bucket holds at least one attempt. With a part below 0.5 per node, all nodes together would exceed the
    // allowance, so such nodes get credit from their first attempts only.
    constexpr double minBurst = 0.5;
    const double nodes = m_nodeCount;
    if (m_targetAllowance.burst / nodes < minBurst)
        return { m_targetAllowance.share, 0, 0 };
    return { m_targetAllowance.share, m_targetAllowance.perSecond / nodes, m_targetAllowance.burst / nodes };
}

void RetryBudget::recordFirstAttempt(const std::string& target, TimePoint now)
{
    m_targets.withShard(target, [&](Buckets& buckets) { addShare(buckets[target], targetAllowanceOfNode(), now); });
    std::lock_guard lock(m_totalMutex);
    addShare(m_totalBucket, m_totalAllowance, now);
}

bool RetryBudget::tryAcquire(const std::string& target, TimePoint now)
{
    const bool hasTargetCredit = m_targets.withShard(
        target, [&](Buckets& buckets) { return tryAcquireFrom(buckets[target], targetAllowanceOfNode(), now); });
    if (!hasTargetCredit)
        return false;
    {
        std::lock_guard lock(m_totalMutex);
        if (tryAcquireFrom(m_totalBucket, m_totalAllowance, now))
            return true;
    }
    // The two locks are never held together, so the target's credit is returned if the node has none left.
    m_targets.withShard(target, [&](Buckets& buckets) {
        auto& bucket = buckets[target];
        bucket.credit = std::min(maxCredit(targetAllowanceOfNode()), bucket.credit + 1);
    });
    return false;
}

void RetryBudget::refill(Bucket& bucket, const RetryAllowance& allowance, TimePoint now)
{
    if (bucket.isNew) {
        bucket = { allowance.burst, now, false };
        return;
    }
    if (now <= bucket.refilledAt)
        return;
    bucket.credit
        = std::min(maxCredit(allowance), bucket.credit + allowance.perSecond * toSeconds(now - bucket.refilledAt));
    bucket.refilledAt = now;
}

void RetryBudget::addShare(Bucket& bucket, const RetryAllowance& allowance, TimePoint now)
{
    refill(bucket, allowance, now);
    bucket.credit = std::min(maxCredit(allowance), bucket.credit + allowance.share);
}

bool RetryBudget::tryAcquireFrom(Bucket& bucket, const RetryAllowance& allowance, TimePoint now)
{
    refill(bucket, allowance, now);
    if (bucket.credit < 1)
        return false;
    bucket.credit -= 1;
    return true;
}

} // namespace cyclamenstair
