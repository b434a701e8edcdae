#pragma once

#include <Cyclamenstair/Core/Time.h>

#include <cstdint>
#include <deque>
#include <optional>

namespace cyclamenstair {

/// Settings of a BrittleTarget.
struct BrittleTargetSettings {
    /// Time after which a statement counts no more. Every answer repeats it, so this only bounds how long a target
    /// without answers stays limited.
    Duration statementLifetime { milliseconds(10000) };
    /// The same for answers without a statement. Afterwards those of the service's other targets and what other nodes
    /// were told count.
    Duration denialLifetime { milliseconds(2000) };
    /// Part of the slots up to which nodes also use the shares of others that leave them idle.
    double lendingFraction { 0.25 };
    /// Time for which the fractions of slots that nodes may borrow are drawn; at least the age of the known loads.
    Duration lendingInterval { milliseconds(400) };
    /// Part of the free slots that the nodes fill in one lendingInterval while some of them exceed their parts.
    double refillFraction { 0.25 };
    /// Time for which a cancelled request still counts, because the target learns of it later.
    Duration cancellationDelay { milliseconds(100) };
    /// Time without new requests after a refusal, as a multiple of the time in which each node could get one refusal
    /// with all of them together at the limit.
    double refusalMargin { 1.5 };
    /// Upper bound of that time. The part of the node is idle meanwhile.
    Duration maxRefusalPause { milliseconds(3000) };
};

/// What the answers of a target say of the refusals for want of room that it survives.
struct BrittleStatement {
    TimePoint statedAt;
    std::optional<uint32_t> refusalLimit; ///< Refusals in a second, of all nodes together; no value if not brittle.
};

/// Requests in flight at a brittle target.
struct BrittleLoad {
    uint32_t slots { 1 };
    uint32_t share { 0 }; ///< This node's part of the slots.
    uint32_t own { 0 }; ///< Of this node.
    uint32_t total { 0 }; ///< Of all nodes, as far as known.
    uint32_t beyondShare { 0 }; ///< Of other nodes beyond their parts of the slots.
};

/// This node's position among the nodes that share the slots of a target.
struct NodeShare {
    size_t nodeCount { 1 };
    size_t position { 0 }; ///< Below nodeCount, different for each node.

    /// Returns this node's part of `slots`. The parts of all nodes add up to `slots`.
    uint32_t partOf(uint32_t slots) const;
};

/// A target that fails if it has to refuse too many requests in a second.
///
/// Load pattern: the nodes know each other's loads some hundred milliseconds late. All of them see a free slot and
/// fill it at once, and the target refuses the rest. Each node therefore has a part of the slots for itself; below
/// lendingFraction it may borrow idle ones as well. While nodes exceed their parts, the others fill only a part of the
/// free slots at a time. Not thread-safe.
class BrittleTarget {
public:
    /// Records the statement of an answer. Returns whether it differs from the one before.
    bool recordAnswer(std::optional<uint32_t> refusalLimit, TimePoint now, const BrittleTargetSettings& settings);

    /// Returns the last statement, unless it is too old to count.
    std::optional<BrittleStatement> statement(TimePoint now, const BrittleTargetSettings& settings) const;

    /// Records that the target refused a request of this node for want of room.
    void recordRefusal(size_t nodeCount, TimePoint now, const BrittleTargetSettings& settings);

    /// Records that this node cancelled a request.
    void recordCancellation(TimePoint now, const BrittleTargetSettings& settings);

    /// Returns whether this node may send another request. `draw` in [0, 1) decides which nodes come first; it is to
    /// differ between nodes and lending intervals.
    bool hasRoom(BrittleLoad load, size_t nodeCount, double draw, TimePoint now, const BrittleTargetSettings& settings);

private:
    BrittleStatement m_statement;
    bool m_hasStatement { false };
    TimePoint m_pausedUntil; ///< After a refusal.
    std::deque<TimePoint> m_cancelledUntil; ///< When each cancelled request no longer counts.
};

} // namespace cyclamenstair
