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

/// What is known of a member's life.
enum class MemberState : uint8_t {
    Alive, ///< Its heartbeat advanced within the timeout.
    Leaving, ///< Alive, but the VM list shows it as leaving.
    Suspect, ///< Silent, but it holds a lease in the store: perhaps only the links are down.
    Dead, ///< Silent without a lease, or gone from the VM list.
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
    Duration timeout { milliseconds(6000) }; ///< Silence after which a member is no longer alive.
    Duration leaseValidity { milliseconds(90000) }; ///< Age up to which a read of the leases counts.
    Duration retention { milliseconds(60000) }; ///< Silence after which a member is forgotten.
};

/// Progress of a member: it is alive only while this advances.
struct MemberProgress {
    uint64_t epoch { 0 }; ///< Start time of the incarnation.
    uint64_t counter { 0 }; ///< Version within the incarnation.
    uint32_t beat { 0 }; ///< Heartbeat at that version.

    auto operator<=>(const MemberProgress&) const = default;
};

/// State of one member.
struct MemberStatus {
    std::string node;
    MemberState state { MemberState::Dead };
    Duration silence { 0 }; ///< Time since the last progress.
};

/// Tells who is alive from heartbeats that advance, the store's leases and the VM list. Callable from many threads.
class MemberTable {
public:
    explicit MemberTable(MemberTableSettings settings);

    /// Takes a heartbeat that was current at `at`; one that does not advance is no sign of life.
    void observe(const std::string& node, MemberProgress progress, TimePoint at);

    /// Takes the nodes that hold a lease in the store.
    void setLeases(const std::set<std::string>& nodes, TimePoint readAt);

    /// Takes the nodes of the VM list with whether they are leaving. A node that was on the list and is gone from it is
    /// dead; one that never was on it may be too new, because the list lags.
    void setVms(const std::map<std::string, bool>& leavingByNode, TimePoint readAt);

    std::optional<MemberStatus> find(const std::string& node, TimePoint now) const;

    /// Returns all members sorted by id.
    std::vector<MemberStatus> members(TimePoint now) const;

    /// Forgets members that have been silent for the retention and hold no lease.
    void removeForgotten(TimePoint now);

private:
    enum class VmListing : uint8_t {
        NeverListed,
        Live,
        Leaving,
        Gone,
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
