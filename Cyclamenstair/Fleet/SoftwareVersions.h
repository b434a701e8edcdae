#pragma once

#include <Cyclamenstair/Core/Sharded.h>
#include <Cyclamenstair/Core/Time.h>

#include <atomic>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace cyclamenstair {

/// A version of the targets' software that serves a service.
struct ServiceVersion {
    std::string service;
    std::string version;

    auto operator<=>(const ServiceVersion&) const = default;
};

/// Versions of the targets' software that serve each service, or have served it so lately that a stream of theirs may
/// still be resumed. Answers of two versions do not fit together. State is sharded by service. Thread-safe.
class SoftwareVersions {
public:
    /// Time for which a version counts after it was last seen; longer than the time for which a caller waits for a
    /// stream.
    static constexpr Duration lifetime = std::chrono::seconds(60);

    /// Records that the version serves, or has served within its lifetime.
    void observe(const ServiceVersion& version, TimePoint now);

    /// Sets whether all versions have been observed that may have begun a stream. False at a node that has just
    /// started.
    void setComplete(bool isComplete) { m_isComplete = isComplete; }
    bool isComplete() const { return m_isComplete; }

    /// Returns the version that began every stream of the service, or no value if there are several or they are not all
    /// known.
    std::optional<std::string> soleVersion(const std::string& service, TimePoint now) const;

    /// Returns whether any service has several versions.
    bool isMixed(TimePoint now) const;

    /// Returns all versions that were seen within their lifetime.
    std::set<ServiceVersion> versions(TimePoint now) const;

private:
    using SeenAt = std::map<std::string, TimePoint>; ///< By version.

    std::atomic<bool> m_isComplete { false };
    Sharded<std::string, std::map<std::string, SeenAt>> m_services;
};

} // namespace cyclamenstair
