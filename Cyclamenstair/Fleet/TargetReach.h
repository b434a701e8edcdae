#pragma once

#include <Cyclamenstair/Core/Time.h>

#include <atomic>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace cyclamenstair {

/// Settings of a TargetReach.
struct TargetReachSettings {
    /// Time without a byte of any target, while requests wait at several, after which the path to the targets is
    /// verified. Streams in progress deliver an event every few tens of milliseconds.
    Duration silenceOfSeveral { milliseconds(400) };
    /// The same while requests wait at one target. A sound one may be silent for a second.
    Duration silenceOfOne { milliseconds(700) };
    /// Targets to which connections must fail, one after the other, before the node counts as isolated: this part of
    /// the known ones, within the bounds below.
    double isolationFraction { 0.5 };
    size_t minFailedTargets { 2 };
    size_t maxFailedTargets { 8 };
    /// Time without a byte of any target after which an isolated node does not count on its open connections either.
    Duration openConnectionSilence { milliseconds(1000) };
};

/// Whether this node reaches the targets, judged from its own connections over all services. Thread-safe.
///
/// A node that has lost its links to all targets still has those to callers, to the store and to other nodes, and can
/// pass its requests on through one of these (RelayPeers). One target that is gone leads to no verdict: the node counts
/// as isolated only if connections to several targets failed and none was opened meanwhile. Connections that are open
/// already say nothing of new ones, as they can live on while new ones are refused.
class TargetReach {
public:
    explicit TargetReach(TargetReachSettings settings = {})
        : m_settings(settings)
    {
    }

    /// Records that a request was sent to the target.
    void recordSent(const std::string& target, TimePoint now);

    /// Records that bytes of a response have arrived from any target.
    void recordReceived(TimePoint now);

    /// Records that a connection to a target was opened. Ends the isolation. Returns whether it was isolated.
    bool recordConnected();

    /// Records that a connection to the target could not be opened, while `targetCount` targets are known. Returns
    /// whether the node is isolated from now on, and was not before.
    bool recordConnectFailure(const std::string& target, size_t targetCount);

    /// Returns whether the path to the targets is to be verified by connections, because they are silent or connections
    /// to several have failed.
    bool isSuspect(TimePoint now) const;

    bool isIsolated() const { return m_isIsolated; }

    /// Returns whether the node is isolated and its open connections do not deliver anything either.
    bool isCutOff(TimePoint now) const;

    /// Returns the targets to which connections have failed since the last one was opened.
    std::set<std::string> failedTargets() const;

private:
    TargetReachSettings m_settings;
    std::atomic<bool> m_isIsolated { false };
    /// Guards the members below. A node handles some hundred requests per second, and each takes the lock briefly.
    mutable std::mutex m_mutex;
    TimePoint m_receivedAt;
    std::set<std::string> m_failedTargets;
    std::set<std::string> m_silentTargets; ///< Targets to which requests were sent since the last received byte.
    std::optional<TimePoint> m_silentSince; ///< First of these sends.
};

} // namespace cyclamenstair
