#pragma once

#include <Cyclamenstair/Generated/Settings_generated.h>
#include <Cyclamenstair/Membership/GossipTable.h>
#include <Cyclamenstair/Node/VmListFollower.h>
#include <Cyclamenstair/Residency/OrderTracker.h>

#include <optional>

namespace cyclamenstair {

/// The sender's VM left the VM list after having been on it.
struct SenderGone { };

/// Nothing shows that the sender's orders are closed.
struct NoEvidence { };

/// What is known about the orders of a former owner's incarnation to a target.
using SenderEvidence = std::variant<OrderClosureState, SenderGone, NoEvidence>;

/// Gathers evidence about orders of former owners: from this process's own order book, from the sender by a peer
/// message, or from the VM list. Callable from many threads.
class OrderEvidence {
public:
    OrderEvidence(const schema::SettingsT& settings, std::string incarnation, std::string fleetKey,
        const GossipTable& gossip, const VmListFollower& vms, OrderTracker& orders);

    /// Asks about the orders of `sender` at epochs before `epoch`; waits at most for the peers' time-out.
    SenderEvidence ask(const std::string& sender, const std::string& target, uint64_t epoch) const;

    /// Returns whether the VM of the node incarnation left the VM list.
    bool isVmGone(const std::string& incarnation) const;

    /// Returns whether the node incarnation's process has ended: its VM is gone, or the node runs a later incarnation,
    /// which could not listen on the node's ports before.
    bool hasEnded(const std::string& incarnation) const;

    const std::string& incarnation() const { return m_incarnation; }
    OrderTracker& orders() const { return *m_orders; }

private:
    std::optional<OrderClosureState> askPeer(
        const std::string& address, const std::string& sender, const std::string& target, uint64_t epoch) const;

    schema::SettingsT m_settings;
    std::string m_incarnation;
    std::string m_fleetKey;
    const GossipTable* m_gossip;
    const VmListFollower* m_vms;
    OrderTracker* m_orders;
};

} // namespace cyclamenstair
