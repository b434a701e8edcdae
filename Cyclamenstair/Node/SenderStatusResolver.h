#pragma once

#include <Cyclamenstair/Generated/Settings_generated.h>
#include <Cyclamenstair/Membership/GossipTable.h>
#include <Cyclamenstair/Node/VmListPoller.h>
#include <Cyclamenstair/Residency/OrderTracker.h>

#include <optional>

namespace cyclamenstair {

/// The sender's VM was removed from the VM list.
struct SenderVmRemoved { };

/// It is unknown whether the sender can still send orders.
struct SenderStatusUnknown { };

/// Status of the orders that a previous owner's node incarnation sent to a target.
using SenderStatus = std::variant<OrderClosureState, SenderVmRemoved, SenderStatusUnknown>;

/// Determines the status of orders sent by previous owners: from the order book of this process, by a query to the
/// sender, or from the VM list. Thread-safe.
class SenderStatusResolver {
public:
    SenderStatusResolver(const schema::SettingsT& settings, std::string incarnation, std::string fleetKey,
        const GossipTable& gossip, const VmListPoller& vmList, OrderTracker& orders);

    /// Returns the status of the orders that `sender` sent to `target` at epochs before `epoch`. Blocks for at most the
    /// peer timeout.
    SenderStatus resolve(const std::string& sender, const std::string& target, uint64_t epoch) const;

    /// Returns whether the VM of the node incarnation was removed from the VM list.
    bool isVmRemoved(const std::string& incarnation) const;

    /// Returns whether the process of the node incarnation has terminated: its VM was removed, or the node runs another
    /// incarnation, which can bind the node's ports only after the earlier process has terminated.
    bool hasProcessEnded(const std::string& incarnation) const;

    const std::string& incarnation() const { return m_incarnation; }
    OrderTracker& orders() const { return *m_orders; }

private:
    std::optional<OrderClosureState> queryPeer(
        const std::string& address, const std::string& sender, const std::string& target, uint64_t epoch) const;

    schema::SettingsT m_settings;
    std::string m_incarnation;
    std::string m_fleetKey;
    const GossipTable* m_gossip;
    const VmListPoller* m_vmList;
    OrderTracker* m_orders;
};

} // namespace cyclamenstair
