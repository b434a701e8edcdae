#pragma once

#include <mutex>

namespace cyclamenstair {

/// Settings of a HedgeBudget.
struct HedgeBudgetSettings {
    double share { 0.05 }; ///< Extra attempts as a fraction of the requests.

    /// Maximum number of extra attempts that can accumulate. Without a bound, a quiet hour would allow a burst of
    /// hedges.
    double maxCredit { 16 };
};

/// Bounds extra attempts to a fraction of the requests. Thread-safe.
class HedgeBudget {
public:
    explicit HedgeBudget(HedgeBudgetSettings settings = {})
        : m_settings(settings)
    {
    }

    void recordRequest();

    /// Charges one extra attempt; returns false if the budget does not allow it.
    bool tryAcquire();

    /// Charges an attempt that does not need the budget's permission, such as a retry, so that fewer hedges follow.
    void chargeAttempt();

private:
    HedgeBudgetSettings m_settings;
    std::mutex m_mutex; ///< Not sharded, because the bound is exact for the whole node.
    double m_credit { 0 };
};

} // namespace cyclamenstair
