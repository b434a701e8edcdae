#include <Tests/ResidencyTests/LedgerSimulation.h>

#include <Cyclamenstair/Core/Random.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cyclamenstair::testing {
namespace {

    constexpr size_t stepsPerRun = 4000;

    /// Runs the simulation; returns its first violation, or an empty string.
    std::string firstViolation(LedgerSimulation& simulation, uint64_t seed)
    {
        Random random(seed);
        for (size_t step = 0; step < stepsPerRun; ++step) {
            simulation.executeStep(static_cast<uint32_t>(random()));
            if (auto violation = simulation.findViolation(); !violation.empty())
                return "step " + std::to_string(step) + ": " + violation;
        }
        return "";
    }

    // Guards against overcommitted memory and absent artifacts that count as reachable while owners pause, crash and
    // take over from each other and while orders or responses are lost or late, at engines with and without fencing.
    RC_GTEST_PROP(LedgerSimulation, memoryBoundAndReachabilityHold, (uint64_t seed, bool enforcesFencing))
    {
        LedgerSimulation simulation(enforcesFencing, OmittedRule::None);
        const auto violation = firstViolation(simulation, seed);
        RC_LOG() << violation;
        RC_ASSERT(violation.empty());
    }

    // Guards against violations in short step sequences, which RapidCheck can shrink to a minimal counterexample.
    RC_GTEST_PROP(LedgerSimulation, memoryBoundAndReachabilityHoldInShortRuns,
        (const std::vector<uint32_t>& encodedSteps, bool enforcesFencing))
    {
        LedgerSimulation simulation(enforcesFencing, OmittedRule::None);
        for (const auto encodedStep : encodedSteps) {
            simulation.executeStep(encodedStep * 2654435761U);
            RC_ASSERT(simulation.findViolation().empty());
        }
    }

    // Guards against a simulation that never reaches late effects or finished loads.
    TEST(LedgerSimulation, ReachesLateEffectsAndFinishedLoads)
    {
        size_t lateEffectCount = 0;
        size_t finishedLoadCount = 0;
        for (uint64_t seed = 0; seed < 50; ++seed) {
            LedgerSimulation simulation(false, OmittedRule::None);
            EXPECT_EQ(firstViolation(simulation, seed), "") << "seed " << seed;
            lateEffectCount += simulation.lateEffectCount();
            finishedLoadCount += simulation.finishedLoadCount();
        }
        EXPECT_GT(lateEffectCount, 20U);
        EXPECT_GT(finishedLoadCount, 100U);
    }

    // Guards against a checker that does not detect an omitted rule of the ledger.
    TEST(LedgerSimulation, DetectsOmittedRules)
    {
        for (const auto rule : { OmittedRule::KeepUnansweredLoads, OmittedRule::KeepUnansweredUnloads }) {
            size_t detectedRuns = 0;
            for (uint64_t seed = 0; seed < 200; ++seed) {
                LedgerSimulation simulation(false, rule);
                detectedRuns += firstViolation(simulation, seed).empty() ? 0 : 1;
            }
            EXPECT_GT(detectedRuns, 0U) << static_cast<int>(rule);
            RecordProperty("caught", static_cast<int>(detectedRuns));
        }
    }

} // namespace
} // namespace cyclamenstair::testing
