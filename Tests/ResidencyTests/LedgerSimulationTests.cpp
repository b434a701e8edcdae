#include <Tests/ResidencyTests/LedgerSimulation.h>

#include <Cyclamenstair/Core/Random.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cyclamenstair::testing {
namespace {

    constexpr size_t stepsPerRun = 4000;

    /// Returns the first violation of a run; empty if there is none.
    std::string firstViolation(LedgerSimulation& simulation, uint64_t seed)
    {
        Random random(seed);
        for (size_t step = 0; step < stepsPerRun; ++step) {
            simulation.step(static_cast<uint32_t>(random()));
            if (auto found = simulation.violation(); !found.empty())
                return "step " + std::to_string(step) + ": " + found;
        }
        return "";
    }

    // Guards against overcommits and wrongly reachable artifacts while owners pause, die, take over from each other,
    // and orders or answers are lost or late, at engines that honour fencing and at those that ignore it.
    RC_GTEST_PROP(LedgerSimulation, memoryAndReachabilityHoldInAnyOrder, (uint64_t seed, bool isFenced))
    {
        LedgerSimulation simulation(isFenced, BrokenRule::None);
        const auto found = firstViolation(simulation, seed);
        RC_LOG() << found;
        RC_ASSERT(found.empty());
    }

    // Guards against shrunk sequences that only a minimal number of steps reaches.
    RC_GTEST_PROP(LedgerSimulation, holdsOverShortSequences, (const std::vector<uint32_t>& choices, bool isFenced))
    {
        LedgerSimulation simulation(isFenced, BrokenRule::None);
        for (const auto choice : choices) {
            simulation.step(choice * 2654435761U);
            RC_ASSERT(simulation.violation().empty());
        }
    }

    // Guards against a simulation that never reaches the cases that it is made for.
    TEST(LedgerSimulation, ReachesLateEffectsAndFinishedLoads)
    {
        size_t lateEffects = 0;
        size_t finishedLoads = 0;
        for (uint64_t seed = 0; seed < 50; ++seed) {
            LedgerSimulation simulation(false, BrokenRule::None);
            EXPECT_EQ(firstViolation(simulation, seed), "") << "seed " << seed;
            lateEffects += simulation.lateEffects();
            finishedLoads += simulation.finishedLoads();
        }
        EXPECT_GT(lateEffects, 20U);
        EXPECT_GT(finishedLoads, 100U);
    }

    // Guards against a checker that would not notice a broken rule of the ledger.
    TEST(LedgerSimulation, CheckerNoticesBrokenRules)
    {
        for (const auto rule : { BrokenRule::TakeoverFreesMemory, BrokenRule::TakeoverTrustsState }) {
            size_t caught = 0;
            for (uint64_t seed = 0; seed < 200; ++seed) {
                LedgerSimulation simulation(false, rule);
                caught += firstViolation(simulation, seed).empty() ? 0 : 1;
            }
            EXPECT_GT(caught, 0U) << static_cast<int>(rule);
            RecordProperty("caught", static_cast<int>(caught));
        }
    }

} // namespace
} // namespace cyclamenstair::testing
