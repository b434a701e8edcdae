#pragma once

#include <nlohmann/json.hpp>

#include <mutex>
#include <string>

namespace cyclamenstair::standin {

/// Faults of a stand-in, set by tests through `POST /faults` with a JSON object of names and numbers.
class Faults {
public:
    /// Sets the given faults and leaves all others as they are.
    void set(const nlohmann::json& values)
    {
        std::lock_guard lock(m_mutex);
        m_values.update(values);
    }

    /// Returns the present value of a fault, or `fallback` if it was never set.
    double value(const std::string& name, double fallback = 0) const
    {
        std::lock_guard lock(m_mutex);
        return m_values.value(name, fallback);
    }

    /// Takes one from a counting fault; returns whether there was one left.
    bool take(const std::string& name)
    {
        std::lock_guard lock(m_mutex);
        const double left = m_values.value(name, 0.0);
        if (left < 1)
            return false;
        m_values[name] = left - 1;
        return true;
    }

private:
    mutable std::mutex m_mutex;
    nlohmann::json m_values = nlohmann::json::object();
};

} // namespace cyclamenstair::standin
