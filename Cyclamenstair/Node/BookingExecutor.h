#pragma once

#include <Cyclamenstair/Bookings/ClaimTable.h>
#include <Cyclamenstair/Codec/PeerMessages.h>
#include <Cyclamenstair/Node/ClaimStore.h>
#include <Cyclamenstair/Node/RequestExecutor.h>

namespace cyclamenstair {

/// Runs bookings (requests that are not repeatable) at most once per caller and idempotency key across all
/// nodes. Callable from many threads.
class BookingExecutor {
public:
    BookingExecutor(const schema::SettingsT& settings, std::string incarnation, std::string fleetKey,
        StoreClient& store, const GossipTable& gossip, RequestExecutor& executor);

    /// Runs the request, or returns the result of an earlier request with the same key. Blocks until the request has
    /// ended or its response window has passed. `onResponse` is called with the service time if the service itself
    /// responded to this request.
    std::variant<BufferedResponse, RequestFailure> run(
        const Request& request, const std::function<void(Duration)>& onResponse);

    /// Handles another node's query about a claim of this node.
    ClaimAnswerMessage answer(const ClaimQueryMessage& query) const;

    /// Stops the background writes. Final records of claims that are not yet stored are lost.
    void stop() { m_claimStore.stop(); }

private:
    struct Booking;
    class ClaimScope;
    using Outcome = std::variant<BufferedResponse, RequestFailure>;

    /// Result of an action: an event for the claim's state machine, or the outcome of the request.
    using StepResult = std::variant<BookingEvent, Outcome>;

    /// Waits for a request with the same key on this node and returns its outcome. Returns no value once `booking` is
    /// registered.
    std::optional<Outcome> joinRunningBooking(const Booking& booking);

    // Each overload performs one action of the state machine.
    StepResult perform(Booking& booking, const CreateClaim&);
    StepResult perform(Booking& booking, const ReadClaim&);
    StepResult perform(Booking& booking, const TakeOverClaim& action);
    StepResult perform(Booking& booking, const QueryClaimNode& action);
    StepResult perform(Booking& booking, const WaitForClaimNode& action);
    StepResult perform(Booking& booking, const SendRequest&);
    StepResult perform(Booking& booking, const RecordResponse& action);
    StepResult perform(Booking& booking, const RecordUnknown& action);
    StepResult perform(Booking& booking, const RecordNotRun& action);
    StepResult perform(Booking& booking, const ReplyWithResponse& action);
    StepResult perform(Booking& booking, const ReplyNotRun& action);
    StepResult perform(Booking& booking, const ReplyKeyReused&);
    StepResult perform(Booking& booking, const ReplyUnknown&);

    /// Writes the claim of `booking` if the stored record is still at `revision`; 0 means that no record exists.
    StepResult writeClaim(Booking& booking, int64_t revision);

    /// Queries the node that holds a claim about its progress.
    BookingEvent queryClaimNode(const std::string& key, const std::string& incarnation, const std::string& token) const;

    schema::SettingsT m_settings;
    std::string m_incarnation;
    std::string m_fleetKey;
    const GossipTable* m_gossip;
    RequestExecutor* m_executor;
    ClaimTable m_claims;
    ClaimStore m_claimStore;
};

} // namespace cyclamenstair
