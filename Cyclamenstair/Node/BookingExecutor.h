#pragma once

#include <Cyclamenstair/Bookings/ClaimTable.h>
#include <Cyclamenstair/Codec/PeerMessages.h>
#include <Cyclamenstair/Node/ClaimStore.h>
#include <Cyclamenstair/Node/RequestExecutor.h>

namespace cyclamenstair {

/// Runs calls that may not be repeated at most once per caller and key, over all nodes. Callable from many threads.
class BookingExecutor {
public:
    BookingExecutor(const schema::SettingsT& settings, std::string incarnation, std::string fleetKey,
        StoreClient& store, const GossipTable& gossip, RequestExecutor& executor);

    /// Runs the call, or returns what is known of an earlier call with the same key.
    /// `onAnswer` is called with the service time if the service itself answered this call.
    std::variant<WholeAnswer, RequestFailure> run(
        const Request& request, const std::function<void(Duration)>& onAnswer);

    /// Answers another node's question about a claim of this node.
    ClaimAnswerMessage answer(const ClaimQueryMessage& query) const;

    /// Ends the background work. Ends of claims that the store has not taken yet are lost.
    void stop() { m_store.stop(); }

private:
    struct Call;
    class CallScope;
    using Outcome = std::variant<WholeAnswer, RequestFailure>;

    /// Result of an action: what became known, or the end of the call.
    using Step = std::variant<BookingEvent, Outcome>;

    /// Waits for a call with the same key at this node. Returns its outcome, or no value once `call` is registered.
    std::optional<Outcome> joinRunningCall(const Call& call);

    Step perform(Call& call, const CreateClaim&);
    Step perform(Call& call, const ReadClaim&);
    Step perform(Call& call, const TakeOverClaim& action);
    Step perform(Call& call, const QueryClaimNode& action);
    Step perform(Call& call, const WaitForClaimNode& action);
    Step perform(Call& call, const SendRequest&);
    Step perform(Call& call, const RecordResponse& action);
    Step perform(Call& call, const RecordUnknown& action);
    Step perform(Call& call, const RecordNotRun& action);
    Step perform(Call& call, const ReplyWithResponse& action);
    Step perform(Call& call, const ReplyNotRun& action);
    Step perform(Call& call, const ReplyKeyReused&);
    Step perform(Call& call, const ReplyUnknown&);

    Step writeClaim(Call& call, int64_t revision);
    BookingEvent askNode(const std::string& key, const std::string& incarnation, const std::string& token) const;

    schema::SettingsT m_settings;
    std::string m_incarnation;
    std::string m_fleetKey;
    const GossipTable* m_gossip;
    RequestExecutor* m_executor;
    ClaimTable m_claims;
    ClaimStore m_store;
};

} // namespace cyclamenstair
