#pragma once

#include <Cyclamenstair/Core/Sharded.h>
#include <Cyclamenstair/Core/Time.h>

#include <algorithm>
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

    /// Time for which a confirmation counts. Until then no other node can have begun a stream of a version that was not
    /// known; see TargetRegistrySettings::newVersionDelay. Longer than the time between two messages of a node.
    static constexpr Duration confirmationLifetime = milliseconds(1300);

    /// Records that the version serves, or has served within its lifetime.
    void observe(const ServiceVersion& version, TimePoint now);

    /// Sets whether all versions have been observed that may have begun a stream. False at a node that has just
    /// started.
    void setComplete(bool isComplete) { m_isComplete = isComplete; }
    bool isComplete() const { return m_isComplete; }

    /// Records that this node was in step with the store or the other nodes at `confirmedAt`, on the clock of
    /// suspendAwareNow(): all versions that were known then have been observed.
    void confirm(TimePoint confirmedAt) { m_confirmedAt = std::max(m_confirmedAt.load(), confirmedAt); }

    /// Sets by how much the clock of suspendAwareNow() is ahead of that of the other arguments.
    void setSuspendedTime(Duration suspendedTime) { m_suspendedTime = suspendedTime; }

    /// Returns whether the versions are all known and this has been confirmed lately.
    bool isCurrent(TimePoint now) const;

    /// Returns the version that began every stream of the service, or no value if there are several or this node may
    /// not know them all.
    std::optional<std::string> soleVersion(const std::string& service, TimePoint now) const;

    /// Returns whether any service has several versions.
    bool isMixed(TimePoint now) const;

    /// Returns all versions that were seen within their lifetime.
    std::set<ServiceVersion> versions(TimePoint now) const;

private:
    using SeenAt = std::map<std::string, TimePoint>; ///< By version.

    std::atomic<bool> m_isComplete { false };
    std::atomic<TimePoint> m_confirmedAt { TimePoint() }; ///< Written by one thread only.
    std::atomic<Duration> m_suspendedTime { Duration() };
    Sharded<std::string, std::map<std::string, SeenAt>> m_services;
};

} // namespace cyclamenstair
