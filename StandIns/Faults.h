#pragma once

#include <nlohmann/json.hpp>

#include <mutex>
#include <string>

namespace cyclamenstair::standin {

/// Faults injected into a stand-in. Tests set them through `POST /faults` with a JSON object of names and numbers.
/// Thread-safe.
class Faults {
public:
    /// Sets the given faults; all others keep their values.
    void set(const nlohmann::json& values)
    {
        std::lock_guard lock(m_mutex);
        m_values.update(values);
    }

    /// Returns the value of a fault, or `fallback` if it has not been set.
    double value(const std::string& name, double fallback = 0) const
    {
        std::lock_guard lock(m_mutex);
        return m_values.value(name, fallback);
    }

    /// Decrements a fault that counts its remaining occurrences; returns false if none remain.
    bool consume(const std::string& name)
    {
        std::lock_guard lock(m_mutex);
        const double remaining = m_values.value(name, 0.0);
        if (remaining < 1)
            return false;
        m_values[name] = remaining - 1;
        return true;
    }

private:
    mutable std::mutex m_mutex;
    nlohmann::json m_values = nlohmann::json::object();
};

} // namespace cyclamenstair::standin
