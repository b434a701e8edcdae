#include <StandIns/RegistryStoreLimits.h>

#include <Cyclamenstair/Core/Overloaded.h>

#include <algorithm>

namespace cyclamenstair {

namespace {

    constexpr uint32_t badRequest = 400;
    constexpr uint32_t forbidden = 403;
    using Rejection = std::optional<RegistryStoreRejection>;

    /// An empty key is rejected, because a page that ends with it could not be continued.
    Rejection checkKey(const std::string& key, const RegistryStoreLimits& limits)
    {
        if (key.empty() || key.size() > limits.maxKeyBytes)
            return { { badRequest, "a key is empty or too long" } };
        return std::nullopt;
    }

    Rejection checkChangedKey(const std::string& key, const RegistryStoreLimits& limits)
    {
        const auto isAbove = [&](const std::string& prefix) { return key.starts_with(prefix); };
        if (std::ranges::any_of(limits.protectedPrefixes, isAbove))
            return { { forbidden, "a key belongs to the operator or the targets" } };
        return std::nullopt;
    }

    Rejection checkTransaction(const StoreTransactionCall& transaction, const RegistryStoreLimits& limits)
    {
        if (transaction.conditions.size() + transaction.writes.size() + transaction.removals.size()
            > limits.maxTransactionEntries)
            return { { badRequest, "the transaction has too many entries" } };
        std::vector<const std::string*> changedKeys;
        for (const auto& write : transaction.writes) {
            if (write.value.size() > limits.maxValueBytes)
                return { { badRequest, "a value is too long" } };
            changedKeys.push_back(&write.key);
        }
        for (const auto& key : transaction.removals)
            changedKeys.push_back(&key);
        Rejection rejection;
        for (const auto& condition : transaction.conditions)
            rejection = rejection ? rejection : checkKey(condition.key, limits);
        for (const auto* key : changedKeys)
            rejection = rejection ? rejection : checkKey(*key, limits);
        for (const auto* key : changedKeys)
            rejection = rejection ? rejection : checkChangedKey(*key, limits);
        return rejection;
    }

} // namespace

std::optional<RegistryStoreRejection> checkLimits(const RegistryStoreCall& call, const RegistryStoreLimits& limits)
{
    return std::visit(
        Overloaded {
            [&](const StoreKeyRead& read) { return checkKey(read.key, limits); },
            [&](const StoreWatchRead& watch) -> Rejection {
                if (watch.waitMs > limits.maxWatchWaitMs)
                    return { { badRequest, "wait_ms is out of range" } };
                return std::nullopt;
            },
            [&](const StoreTransactionCall& transaction) { return checkTransaction(transaction, limits); },
            [&](const StoreLeaseGrant& grant) -> Rejection {
                if (grant.ttlMs < limits.minLeaseMs || grant.ttlMs > limits.maxLeaseMs)
                    return { { badRequest, "ttl_ms is out of range" } };
                return std::nullopt;
            },
            [](const StoreRangeRead&) -> Rejection { return std::nullopt; },
            [](const StoreLeaseRenewal&) -> Rejection { return std::nullopt; },
            [](const StoreLeaseEnd&) -> Rejection { return std::nullopt; },
        },
        call);
}

} // namespace cyclamenstair
