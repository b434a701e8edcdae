#include <Cyclamenstair/Quarantine/PromptQuarantine.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace cyclamenstair;

namespace {

constexpr TimePoint start { std::chrono::seconds(100000) };
constexpr Duration failureInterval = milliseconds(400);

PromptParts prompt(const std::string& sharedPart, const std::string& own) { return { { "common", sharedPart }, own }; }

/// A quarantine with a clock, fed like by a node.
struct Node {
    explicit Node(const QuarantineSettings& settings = {})
        : quarantine(settings, [this](const PartVerdict& verdict) { verdicts.push_back(verdict); })
    {
    }

    void lose(const std::string& part, const std::string& own)
    {
        quarantine.addLostAnswer(prompt(part, own), ++attempts, now);
    }

    void answer(const std::string& part, int count = 1)
    {
        for (int i = 0; i < count; ++i)
            quarantine.addContinuedAnswer(prompt(part, "sound"), now);
    }

    bool isAllowed(const std::string& part, const std::string& own = "new")
    {
        return !quarantine.timeUntilAllowed(prompt(part, own), now);
    }

    /// Loses answers with the part in `count` failures, between answers without it.
    void failTargets(const std::string& part, int count)
    {
        for (int i = 0; i < count; ++i) {
            lose(part, "own-" + std::to_string(i));
            answer("sound", 2);
            now += failureInterval;
        }
    }

    PromptQuarantine quarantine;
    std::vector<PartVerdict> verdicts;
    TimePoint now { start };
    uint64_t attempts { 0 };
};

void exchange(Node& sender, Node& receiver)
{
    receiver.quarantine.merge(sender.quarantine.rows(sender.now), receiver.now);
}

} // namespace

// Guards against requests with a part that no target survives being sent on, and against refusing the sound ones that
// share their other parts.
TEST(PromptQuarantine, PartWithoutContinuedAnswersIsQuarantined)
{
    Node node;
    node.failTargets("bad", 2);
    EXPECT_TRUE(node.isAllowed("bad"));
    node.failTargets("bad", 1);
    EXPECT_FALSE(node.isAllowed("bad"));
    EXPECT_TRUE(node.isAllowed("sound"));
    ASSERT_EQ(node.verdicts.size(), 1U);
    EXPECT_EQ(node.verdicts[0].part, "bad");
}

// Guards against blaming the parts of one request that was repeated while targets failed for another reason.
TEST(PromptQuarantine, RepeatsOfOneRequestAreNotEnough)
{
    Node node;
    for (int i = 0; i < 10; ++i) {
        node.lose("part", "same");
        node.answer("sound", 2);
        node.now += failureInterval;
    }
    EXPECT_TRUE(node.isAllowed("part"));
}

// Guards against a single request that its caller repeats, with a new id and at other nodes, and that ends a target
// each time; its other parts are in sound requests too.
TEST(PromptQuarantine, RepeatedRequestThatTargetsDoNotSurviveIsQuarantined)
{
    Node first;
    Node second;
    second.attempts = 1000;
    for (int i = 0; i < 3; ++i) {
        EXPECT_TRUE(second.isAllowed("part", "crashing"));
        (i == 1 ? first : second).lose("part", "crashing");
        first.answer("part", 2);
        second.answer("part", 2);
        for (auto* node : { &first, &second })
            node->now += failureInterval;
        exchange(first, second);
        exchange(second, first);
    }
    for (auto* node : { &first, &second }) {
        EXPECT_FALSE(node->isAllowed("part", "crashing"));
        EXPECT_TRUE(node->isAllowed("part", "another"));
    }
}

// Guards against refusing a sound request that was lost beside the one that ends targets, once it is answered.
TEST(PromptQuarantine, RequestLostBesideItIsClearedByItsAnswer)
{
    Node node;
    for (int i = 0; i < 4; ++i) {
        node.lose("part", "crashing");
        node.lose("part", "sound");
        node.now += failureInterval;
        // The caller's repeat is answered between two failures.
        if (i == 1)
            node.answer("part", 4);
    }
    EXPECT_FALSE(node.isAllowed("part", "crashing"));
    EXPECT_TRUE(node.isAllowed("part", "sound"));
}

// Guards against blaming a request because the targets of its service end one after the other for another reason.
TEST(PromptQuarantine, RequestIsNotBlamedWhileNoOtherIsAnswered)
{
    Node node;
    for (int i = 0; i < 10; ++i) {
        node.lose("part", "own");
        node.now += failureInterval;
    }
    EXPECT_TRUE(node.isAllowed("part", "own"));
}

// Guards against evidence that is pushed out by the many requests that are lost with one target.
TEST(PromptQuarantine, EvidenceIsKeptBesideManyLostRequests)
{
    Node node;
    for (int i = 0; i < 3; ++i) {
        node.lose("part", "crashing");
        for (int k = 0; k < 60; ++k)
            node.lose("part", "own-" + std::to_string(i) + "-" + std::to_string(k));
        node.answer("part", 2);
        node.now += failureInterval;
    }
    EXPECT_FALSE(node.isAllowed("part", "crashing"));
}

// Guards against taking a failure of many targets at once, for example of a failure domain, for failures that follow
// each other.
TEST(PromptQuarantine, TargetsThatFailTogetherCountOnce)
{
    Node node;
    for (int i = 0; i < 20; ++i) {
        node.lose("part", "own-" + std::to_string(i));
        node.now += milliseconds(5);
    }
    node.answer("sound", 20);
    EXPECT_TRUE(node.isAllowed("part"));
}

// Guards against refusing all requests because all targets of a service fail for a reason of their own.
TEST(PromptQuarantine, NothingIsQuarantinedWhileNoRequestIsAnswered)
{
    Node node;
    for (int i = 0; i < 30; ++i) {
        node.lose("part-" + std::to_string(i % 3), "own-" + std::to_string(i));
        node.now += failureInterval;
    }
    for (int i = 0; i < 3; ++i)
        EXPECT_TRUE(node.isAllowed("part-" + std::to_string(i)));
}

// Guards against a sound part that stays quarantined although answers with it continue.
TEST(PromptQuarantine, ContinuedAnswerEndsQuarantine)
{
    Node node;
    node.failTargets("part", 3);
    EXPECT_FALSE(node.isAllowed("part"));
    node.answer("part");
    EXPECT_TRUE(node.isAllowed("part"));
    node.failTargets("part", 2);
    EXPECT_TRUE(node.isAllowed("part"));
}

// Guards against refusing a sound part because it stands in all prompts of the part that makes targets fail.
TEST(PromptQuarantine, PartThatTargetsSurvivedBeforeIsSpared)
{
    Node node;
    Node other;
    other.answer("companion");
    for (int i = 0; i < 3; ++i) {
        node.quarantine.addLostAnswer(
            { { "common", "companion", "bad" }, "own-" + std::to_string(i) }, ++node.attempts, node.now);
        node.answer("sound", 2);
        node.now += failureInterval;
        other.now = node.now;
        exchange(node, other);
        exchange(other, node);
    }
    EXPECT_TRUE(node.isAllowed("companion"));
    EXPECT_FALSE(node.isAllowed("bad"));
    // If targets fail without the blamed part too, the spared one is the cause.
    node.failTargets("companion", 3);
    EXPECT_FALSE(node.isAllowed("companion"));
}

// Guards against a quarantine without end, and against several targets that fail again when it ends.
TEST(PromptQuarantine, EndedQuarantineIsRenewedByOneFailureAndLonger)
{
    const QuarantineSettings settings;
    Node node(settings);
    node.failTargets("bad", 3);
    EXPECT_FALSE(node.isAllowed("bad"));
    node.now += settings.duration + std::chrono::seconds(1);
    EXPECT_TRUE(node.isAllowed("bad"));
    node.lose("bad", "later");
    EXPECT_FALSE(node.isAllowed("bad"));
    node.now += settings.duration + std::chrono::seconds(1);
    EXPECT_FALSE(node.isAllowed("bad"));
    node.now += settings.duration;
    EXPECT_TRUE(node.isAllowed("bad"));
}

// Guards against each node losing targets of its own before it refuses the part, also if each has seen one failure
// only.
TEST(PromptQuarantine, NodesCombineTheirEvidence)
{
    std::vector<std::unique_ptr<Node>> nodes;
    for (int i = 0; i < 3; ++i) {
        nodes.push_back(std::make_unique<Node>());
        nodes.back()->now = start + failureInterval * i;
        nodes.back()->attempts = 100 * static_cast<uint64_t>(i);
        nodes.back()->lose("bad", "own-" + std::to_string(i));
    }
    for (auto& node : nodes) {
        node->now = start + failureInterval * 3;
        exchange(*node, *nodes[0]);
        exchange(*node, *nodes[0]);
    }
    EXPECT_TRUE(nodes[0]->isAllowed("bad"));
    nodes[0]->answer("sound", 3);
    EXPECT_FALSE(nodes[0]->isAllowed("bad"));
    Node starting;
    starting.now = nodes[0]->now;
    exchange(*nodes[0], starting);
    EXPECT_FALSE(starting.isAllowed("bad"));
}

// Guards against evidence that was disproved and comes back with a late message.
TEST(PromptQuarantine, ClearedEvidenceDoesNotReturn)
{
    Node first;
    first.failTargets("part", 3);
    EXPECT_FALSE(first.isAllowed("part"));
    Node second;
    second.now = first.now;
    exchange(first, second);
    const auto stale = first.quarantine.rows(first.now);
    second.answer("part");
    exchange(second, first);
    EXPECT_TRUE(first.isAllowed("part"));
    const auto version = first.quarantine.version();
    first.quarantine.merge(stale, first.now + std::chrono::seconds(5));
    EXPECT_TRUE(first.isAllowed("part"));
    EXPECT_EQ(first.quarantine.version(), version);
}

// Guards against callers that fill a node's memory and its messages with the names of parts.
TEST(PromptQuarantine, NumberOfPartsIsBounded)
{
    Node node;
    node.failTargets("bad", 3);
    EXPECT_FALSE(node.isAllowed("bad"));
    for (int i = 0; i < 5000; ++i)
        node.lose("part-" + std::to_string(i), "own-" + std::to_string(i));
    EXPECT_LE(node.quarantine.rows(node.now).size(), 256U);
    EXPECT_FALSE(node.isAllowed("bad"));
}

// Guards against a verdict that depends on the order, the number or the way of messages, and against a part that is
// refused although the last answer with it continued.
RC_GTEST_PROP(PromptQuarantineProperties, ConnectedNodesAgree, ())
{
    constexpr int nodeCount = 3;
    std::vector<std::unique_ptr<Node>> nodes;
    for (int i = 0; i < nodeCount; ++i) {
        nodes.push_back(std::make_unique<Node>());
        nodes.back()->attempts = 1000000 * static_cast<uint64_t>(i);
    }
    const std::vector<std::string> parts { "a", "b", "c" };
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1 << 16));
    for (const int step : steps) {
        auto& node = *nodes[static_cast<size_t>(step % nodeCount)];
        auto& other = *nodes[static_cast<size_t>(step / 3 % nodeCount)];
        const auto& part = parts[static_cast<size_t>(step / 9 % 3)];
        const auto kind = step / 27 % 4;
        if (kind == 0) {
            node.lose(part, "own-" + std::to_string(step / 108 % 5));
        } else if (kind == 1) {
            node.answer(part);
            RC_ASSERT(node.isAllowed(part));
        } else if (kind == 2) {
            exchange(node, other);
        } else {
            for (auto& each : nodes)
                each->now += milliseconds(step / 108 % 500);
        }
    }
    for (int round = 0; round < nodeCount; ++round) {
        for (auto& sender : nodes) {
            for (auto& receiver : nodes)
                exchange(*sender, *receiver);
        }
    }
    // One node may have seen enough other answers and the next one not; its verdict reaches the others.
    for (const auto& part : parts) {
        for (auto& node : nodes)
            (void)node->isAllowed(part);
    }
    for (auto& sender : nodes) {
        for (auto& receiver : nodes)
            exchange(*sender, *receiver);
    }
    for (const auto& part : parts) {
        for (auto& node : nodes)
            RC_ASSERT(node->isAllowed(part) == nodes[0]->isAllowed(part));
    }
}
