#pragma once

#include <Cyclamenstair/Core/EnumNames.h>
#include <Cyclamenstair/Core/Sharded.h>
#include <Cyclamenstair/Core/Time.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cyclamenstair {

/// Liveness of a member.
enum class MemberState : uint8_t {
    Alive, ///< Its heartbeat advanced within the timeout.
    Leaving, ///< Alive, but the VM list marks it as leaving.
    Suspect, ///< No heartbeat within the timeout, but a lease in the store: perhaps only its links failed.
    Dead, ///< No heartbeat within the timeout and no lease, or removed from the VM list.
};

template <> struct EnumNames<MemberState> {
    static constexpr auto table = std::to_array<EnumName<MemberState>>({
        { MemberState::Alive, "alive" },
        { MemberState::Leaving, "leaving" },
        { MemberState::Suspect, "suspect" },
        { MemberState::Dead, "dead" },
    });
};

/// Settings of a MemberTable.
struct MemberTableSettings {
    Duration timeout { milliseconds(6000) }; ///< Time without progress after which a member is no longer alive.
    Duration leaseValidity { milliseconds(90000) }; ///< Age up to which a read of the leases is used.
    Duration retention { milliseconds(60000) }; ///< Time without progress after which a dead member is removed.
};

/// Progress of a member; a member is alive only while it advances.
struct MemberProgress {
    uint64_t epoch { 0 }; ///< Start time of the incarnation.
    uint64_t counter { 0 }; ///< Version within the incarnation.
    uint32_t heartbeat { 0 }; ///< Heartbeat at that version.

    auto operator<=>(const MemberProgress&) const = default;
};

/// State of one member, as returned by MemberTable.
struct MemberStatus {
    std::string node;
    MemberState state { MemberState::Dead };
    Duration timeSinceProgress { 0 }; ///< Duration::max() if no heartbeat was received.
};

/// Derives the liveness of members from advancing heartbeats, leases in the store and the VM list. Thread-safe.
class MemberTable {
public:
    explicit MemberTable(MemberTableSettings settings);

    /// Records progress that a member made at `at`; ignored unless it is ahead of the recorded progress.
    void observe(const std::string& node, MemberProgress progress, TimePoint at);

    /// Sets the nodes that hold a lease in the store, as read at `readAt`.
    void setLeases(const std::set<std::string>& nodes, TimePoint readAt);

    /// Sets the nodes of the VM list, as read at `readAt`, each with whether it is leaving. A node that was on the list
    /// and is no longer on it is dead. A node that was never listed may just be new, because the list lags.
    void setVms(const std::map<std::string, bool>& leavingByNode, TimePoint readAt);

    std::optional<MemberStatus> find(const std::string& node, TimePoint now) const;

    /// Returns all members sorted by id.
    std::vector<MemberStatus> members(TimePoint now) const;

    /// Removes dead members that have made no progress for the retention.
    void removeDeadMembers(TimePoint now);

private:
    enum class VmListing : uint8_t {
        NeverListed,
        Live,
        Leaving,
        Removed,
    };

    struct Member {
        MemberProgress progress;
        std::optional<TimePoint> advancedAt;
        std::optional<TimePoint> leaseReadAt; ///< Last read that showed its lease.
        VmListing listing { VmListing::NeverListed };
    };
    using Members = std::map<std::string, Member>;

    MemberStatus statusOf(const std::string& node, const Member& member, TimePoint now) const;

    MemberTableSettings m_settings;
    Sharded<std::string, Members> m_members;
};

} // namespace cyclamenstair
