#pragma once

#include <mutex>

namespace cyclamenstair {

/// Settings of a HedgeBudget.
struct HedgeBudgetSettings {
    double share { 0.05 }; ///< Extra attempts as a share of requests.

    /// Extra attempts that may be saved up. Without a bound, an hour of calm would pay for a storm of hedges.
    double maxSaved { 16 };
};

/// Bounds extra attempts to a share of requests. Callable from many threads.
class HedgeBudget {
public:
    explicit HedgeBudget(HedgeBudgetSettings settings = {})
        : m_settings(settings)
    {
    }

    void countRequest();

    /// Takes one extra attempt; returns false if the budget does not allow it.
    bool take();

    /// Counts an extra attempt that was made anyway, as a retry, so that it leaves less for hedges.
    void charge();

private:
    HedgeBudgetSettings m_settings;
    std::mutex m_mutex; ///< The budget is one number for the whole node, which shards would make inexact.
    double m_saved { 0 };
};

} // namespace cyclamenstair
