#include <Tests/Support/HistoryChecker.h>

#include <gmock/gmock.h>

namespace cyclamenstair::testing {

namespace {

    using ::testing::ElementsAre;
    using ::testing::IsEmpty;

    ObservedRequest completion(
        uint64_t call, ObservedOutcome end, const std::string& response, const std::string& expected)
    {
        return { call, "id-" + std::to_string(call), "", end, response, expected, false };
    }

    ObservedRequest booking(uint64_t call, ObservedOutcome end)
    {
        const auto key = "key-" + std::to_string(call);
        return { call, "id-" + std::to_string(call), key, end, key, key, false };
    }

    std::vector<HistoryFault> faultsOf(
        const std::vector<ObservedRequest>& records, const TargetLogs& logs, uint64_t calls = 1)
    {
        std::vector<HistoryFault> faults;
        for (const auto& finding : checkHistory(records, logs, calls))
            faults.push_back(finding.fault);
        return faults;
    }

    // Guards against false positives.
    TEST(HistoryChecker, AcceptsAllowedHistories)
    {
        auto broken = completion(3, ObservedOutcome::Incomplete, "", " w1 w2");
        broken.isDisconnectAllowed = true;
        EXPECT_THAT(faultsOf({ completion(0, ObservedOutcome::Complete, " w1 w2", " w1 w2"),
                                 booking(1, ObservedOutcome::Complete), booking(2, ObservedOutcome::Unknown), broken,
                                 completion(4, ObservedOutcome::NotRun, "", " w1") },
                        { { "id-0", "id-1", "id-2", "id-3" }, { { "key-1", 1 }, { "key-2", 1 } } }, 5),
            IsEmpty());
    }

    // Guards against a checker that misses lost requests and lost or truncated responses.
    TEST(HistoryChecker, DetectsLostResponses)
    {
        EXPECT_THAT(faultsOf({}, {}), ElementsAre(HistoryFault::Lost));
        EXPECT_THAT(
            faultsOf({ completion(0, ObservedOutcome::Incomplete, "", " w1") }, {}), ElementsAre(HistoryFault::Lost));
        EXPECT_THAT(
            faultsOf({ completion(0, ObservedOutcome::Unknown, "", " w1") }, {}), ElementsAre(HistoryFault::Lost));
        EXPECT_THAT(faultsOf({ completion(0, ObservedOutcome::Complete, " w1", " w1 w2") }, {}),
            ElementsAre(HistoryFault::Lost));
        EXPECT_THAT(faultsOf({ booking(0, ObservedOutcome::Complete) }, {}), ElementsAre(HistoryFault::Lost));
    }

    // Guards against a checker that misses work that ran twice and text that was delivered twice.
    TEST(HistoryChecker, DetectsDuplicatedWork)
    {
        EXPECT_THAT(faultsOf({ booking(0, ObservedOutcome::Complete) }, { { "id-0" }, { { "key-0", 2 } } }),
            ElementsAre(HistoryFault::Duplicated));
        EXPECT_THAT(faultsOf({ booking(0, ObservedOutcome::Unknown) }, { { "id-0" }, { { "key-0", 2 } } }),
            ElementsAre(HistoryFault::Duplicated));
        EXPECT_THAT(faultsOf({ completion(0, ObservedOutcome::Complete, " w1 w2 w2", " w1 w2") }, {}),
            ElementsAre(HistoryFault::Duplicated));
        const auto duplicate = completion(0, ObservedOutcome::Complete, " w1", " w1");
        EXPECT_THAT(faultsOf({ duplicate, duplicate }, {}), ElementsAre(HistoryFault::Duplicated));
    }

    // Guards against a checker that accepts the response to another request or a mix of two responses.
    TEST(HistoryChecker, DetectsMixedUpResponses)
    {
        EXPECT_THAT(faultsOf({ completion(0, ObservedOutcome::Complete, " w8 w9", " w1 w2") }, {}),
            ElementsAre(HistoryFault::Mismatched));
        EXPECT_THAT(faultsOf({ completion(0, ObservedOutcome::Complete, " w1 w9 w2", " w1 w2") }, {}),
            ElementsAre(HistoryFault::Mismatched));
    }

    // Guards against a checker that misses a run, identified by request id or key, of a request reported as "not run".
    TEST(HistoryChecker, DetectsFalseNotRun)
    {
        EXPECT_THAT(faultsOf({ completion(0, ObservedOutcome::NotRun, "", " w1") }, { { "id-0" }, {} }),
            ElementsAre(HistoryFault::FalselyNotRun));
        EXPECT_THAT(faultsOf({ booking(0, ObservedOutcome::NotRun) }, { { "other" }, { { "key-0", 1 } } }),
            ElementsAre(HistoryFault::FalselyNotRun));
    }

} // namespace

} // namespace cyclamenstair::testing
