#pragma once

#include <Cyclamenstair/Codec/NodeEntryCodec.h>
#include <Cyclamenstair/Entry/EntryState.h>

#include <platform/PlatformStore.h>

namespace cyclamenstair {

/// Registers this node in the store under a lease, so that other nodes can connect to it. Belongs to one event
/// loop.
class NodeRegistrar {
public:
    NodeRegistrar(boost::asio::io_context& context, PlatformStore& store, std::string nodeId, PeerNode self);

    void start() { registerOrRenew(); }

    /// Sets the relay address of the entry, which is empty before. A node that is registered writes its entry again.
    void setRelayAddress(std::string address);

    /// Sets whether the entry's lease is renewed often, so that a loss of the store shows within
    /// contactLifetime. A renewal is billed at a tenth of a call.
    void setFrequent(bool isFrequent);

    /// Returns whether the store has answered a renewal recently. Meaningful only if the lease is renewed often.
    bool hasContact(TimePoint now) const { return now - m_contactAt < contactLifetime; }

    /// Time after an answer during which the store counts as reachable.
    static constexpr Duration contactLifetime = milliseconds(900);

    /// Stops renewals and revokes the lease, which removes the entry. Called once; setRelayAddress() has no effect
    /// afterwards.
    void stop();

    /// Prefix of the node entries' keys, followed by the node id; the value is an encoded NodeEntry.
    static const std::string keyPrefix;

private:
    void registerOrRenew();
    void writeEntry(int64_t leaseId, uint64_t round);
    /// Writes a changed entry under the lease that is held.
    void rewriteEntry(uint64_t round);
    void renew(uint64_t round);
    void scheduleNext(Duration delay);

    boost::asio::steady_timer m_timer;
    PlatformStore* m_store;
    std::string m_nodeId;
    PeerNode m_self;
    PeerNode m_writtenEntry; ///< As last written with success.
    bool m_isStopping { false };
    bool m_isFrequent { false };
    uint64_t m_round { 0 }; ///< Number of the last registration or renewal; outcomes of earlier ones are not used.
    bool m_isCalling { false }; ///< A call whose outcome schedules the next one is in progress.
    TimePoint m_contactAt; ///< Time of the last answer to a renewal.
    int64_t m_leaseId { 0 }; ///< 0 while the node is not registered.
};

} // namespace cyclamenstair
