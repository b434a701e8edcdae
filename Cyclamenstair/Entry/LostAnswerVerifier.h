#pragma once

#include <Cyclamenstair/Entry/EntryState.h>
#include <Cyclamenstair/Http/EventLoop.h>
#include <Cyclamenstair/Http/HttpClient.h>

namespace cyclamenstair {

/// Finds out whether a target's process ended when it lost an answer, by asking the target for a report. A network or a
/// target that only loses an answer says nothing about the prompt, so such a loss is no evidence for the quarantine.
class LostAnswerVerifier {
public:
    /// Time for the report. A target that does not send one in it counts as ended.
    static constexpr Duration reportTimeout = milliseconds(400);

    /// `loop` must outlive the verifier's last call.
    LostAnswerVerifier(EventLoop& loop, EntryState& state);

    /// Adds the lost answer to the quarantine's evidence once the target's process has been found to have ended.
    /// Thread-safe.
    void submit(LostAnswer answer);

private:
    void verify(const LostAnswer& answer);

    EventLoop* m_loop;
    EntryState* m_state;
    HttpClient m_client; ///< Used on the loop's thread only.
};

} // namespace cyclamenstair
