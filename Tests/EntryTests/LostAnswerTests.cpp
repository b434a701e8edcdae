#include "EntryNodeFixture.h"

#include <Cyclamenstair/Entry/LostAnswerVerifier.h>

#include <nlohmann/json.hpp>

using namespace cyclamenstair;

// Guards against sound prompts that are quarantined because a running target lost answers, and against a target that
// ended and is not counted: one that started anew, and one that does not respond at all.
TEST(LostAnswerVerifier, CountsOnlyAnswersOfTargetsThatEnded)
{
    EntryState state(SettingsReader::create("[node]\nmode = Registered\nid = node-1\n").value());
    RegisteredTargetStandIn target { "i-1", "plain" };
    const auto address = nlohmann::json::parse(target.entry()).at("address").get<std::string>();
    EventLoop loop;
    LostAnswerVerifier verifier(loop, state);
    loop.start();
    const auto evidenceAfter = [&](const std::string& targetAddress, int64_t startedUnixMs, const std::string& part) {
        verifier.submit({ { "i-1", targetAddress, "plain", startedUnixMs }, { { part }, "own-" + part }, 1 });
        std::this_thread::sleep_for(std::chrono::milliseconds(1000));
        const auto rows = state.quarantine.rows(monotonicNow());
        return std::any_of(rows.begin(), rows.end(), [&](const auto& row) { return row.part == part; });
    };
    EXPECT_FALSE(evidenceAfter(address, 1, "running"));
    EXPECT_TRUE(evidenceAfter(address, 2, "restarted"));
    EXPECT_TRUE(evidenceAfter(allocateLoopbackAddress(), 1, "gone"));
    loop.stop();
}
