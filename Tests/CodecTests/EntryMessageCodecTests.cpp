#include <Cyclamenstair/Codec/EntryMessages.h>
#include <Cyclamenstair/Core/Error.h>

#include <gtest/gtest.h>

using namespace cyclamenstair;

TEST(EntryMessageCodec, RoundTripsLoadShare)
{
    const LoadShare share { "node-1", { { "i-1", { 4, 2600 } } }, { { { "drafting", "draft", "a1" }, { 2.5, 7, 3 } } },
        { { "i-1", { { "draft", 3 } } } } };
    const auto decoded = std::get<LoadShare>(decodeEntryMessage(encodeEntryMessage(share)));
    EXPECT_EQ(decoded.node, "node-1");
    EXPECT_EQ(decoded.loads, share.loads);
    EXPECT_EQ(decoded.modelRuns, share.modelRuns);
    ASSERT_EQ(decoded.demands.size(), 1U);
    const auto& [artifact, load] = *decoded.demands.begin();
    EXPECT_EQ(artifact, (ArtifactKey { "drafting", "draft", "a1" }));
    EXPECT_EQ(load, (ArtifactWorkload { 2.5, 7, 3 }));
}

TEST(EntryMessageCodec, RoundTripsSnapshot)
{
    const Snapshot snapshot { "{}", { { "i-1", "entry", 12 } }, true };
    const auto decoded = std::get<Snapshot>(decodeEntryMessage(encodeEntryMessage(snapshot)));
    EXPECT_EQ(decoded.catalog, "{}");
    ASSERT_EQ(decoded.targets.size(), 1U);
    EXPECT_EQ(decoded.targets[0].entry, "entry");
    EXPECT_EQ(decoded.targets[0].revision, 12);
    EXPECT_TRUE(decoded.areTargetsKnown);
    EXPECT_EQ(
        std::get<SnapshotRequest>(decodeEntryMessage(encodeEntryMessage(SnapshotRequest { "node-2" }))).node, "node-2");
}

TEST(EntryMessageCodec, RoundTripsResidencyNotice)
{
    const ResidencyNotice notice { "i-1", "drafting", { { "draft", { "a1", "a2" } } } };
    const auto decoded = std::get<ResidencyNotice>(decodeEntryMessage(encodeEntryMessage(notice)));
    EXPECT_EQ(decoded.target, "i-1");
    EXPECT_EQ(decoded.service, "drafting");
    ASSERT_EQ(decoded.models.size(), 1U);
    EXPECT_EQ(decoded.models[0].adapters, (std::set<std::string> { "a1", "a2" }));
}

// Guards against a crash on bytes from an arbitrary process that connects to a node's port.
TEST(EntryMessageCodec, RejectsMalformedBytes)
{
    EXPECT_THROW(decodeEntryMessage(""), Exception);
    EXPECT_THROW(decodeEntryMessage("not a message at all"), Exception);
    EXPECT_THROW(decodeEntryMessage(std::string(64, '\0')), Exception);
}
