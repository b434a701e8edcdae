#include <Cyclamenstair/Codec/EntryMessages.h>
#include <Cyclamenstair/Codec/NodeEntryCodec.h>
#include <Cyclamenstair/Core/Error.h>
#include <Cyclamenstair/Generated/Entry_generated.h>

#include <Cyclamenstair/Codec/ServiceVersionCodec.h>

#include <gtest/gtest.h>

#include <algorithm>

#include <limits>

using namespace cyclamenstair;

TEST(EntryMessageCodec, RoundTripsLoadShare)
{
    const LoadShare share { "node-1", { { "i-1", { 4, 2600 } } }, true, { "node-3" } };
    EXPECT_EQ(std::get<LoadShare>(decodeEntryMessage(encodeEntryMessage(share))), share);
    const LoadSummary summary { "node-2", share.loads, 0, { "node-3" } };
    const auto decoded = std::get<LoadSummary>(decodeEntryMessage(encodeEntryMessage(summary)));
    EXPECT_EQ(decoded.node, "node-2");
    EXPECT_EQ(decoded.loads, share.loads);
    EXPECT_EQ(decoded.isolatedNodes, summary.isolatedNodes);
}

TEST(EntryMessageCodec, RoundTripsDemandShare)
{
    const DemandShare share { "node-1", { { { "drafting", "draft", "a1" }, { 2.5, 7, 3 } } },
        { { "i-1", { { "draft", 3 } } } } };
    EXPECT_EQ(std::get<DemandShare>(decodeEntryMessage(encodeEntryMessage(share))), share);
}

// Guards against lost fields, and against rates of a faulty peer that would block a team.
TEST(EntryMessageCodec, RoundTripsUsage)
{
    const UsageShare share { "node-1", { { "t", { 7.5, 2.5 } } }, 3, true, 9 };
    EXPECT_EQ(std::get<UsageShare>(decodeEntryMessage(encodeEntryMessage(share))), share);
    const UsageSummary summary { "node-2", { { "t", { -1, std::numeric_limits<double>::infinity() } } }, 83, 9 };
    const auto decoded = std::get<UsageSummary>(decodeEntryMessage(encodeEntryMessage(summary)));
    EXPECT_EQ(decoded, (UsageSummary { "node-2", { { "t", { 0, 0 } } }, 83, 9 }));
    const SnapshotRequest request { "node-1", true };
    EXPECT_TRUE(std::get<SnapshotRequest>(decodeEntryMessage(encodeEntryMessage(request))).isCatalogOnly);
}

// Guards against a crash on an entry that another writer put into the store, and against a lost field.
TEST(NodeEntryCodec, RoundTripsAndRejectsMalformedBytes)
{
    const PeerNode node { "10.0.0.1:8144", "domain-1", 0.12 };
    EXPECT_EQ(decodeNodeEntry(encodeNodeEntry(node), "node-1").value(), node);
    const auto rejected = decodeNodeEntry("10.0.0.1:8144", "node-1");
    ASSERT_FALSE(rejected);
    EXPECT_EQ(rejected.error().peer, "node-1");
}

// Guards against nodes of two builds that close their channels again and again, because one of them sends a message
// that the other one does not know.
TEST(EntryMessageCodec, MessageOfALaterBuildIsUnknown)
{
    flatbuffers::FlatBufferBuilder builder;
    const auto content = schema::CreateStoreSyncRequestDirect(builder, "node-1").Union();
    constexpr uint8_t laterType = 200;
    builder.Finish(schema::CreateEntryMessage(builder, static_cast<schema::EntryContent>(laterType), content));
    const std::string bytes(reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize());
    EXPECT_EQ(std::get<UnknownMessage>(decodeEntryMessage(bytes)).type, laterType);
    EXPECT_THROW(decodeEntryMessage(encodeEntryMessage(UnknownMessage { laterType })), Exception);
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

// Guards against streams whose version is lost on the way to another node or through the store.
TEST(EntryMessageCodec, RoundTripsStreamOrigins)
{
    const StreamOriginShare share { "node-1", { { 1, "v1" }, { UINT64_MAX, "v2" }, { 3, "v1" }, { 4, "" } } };
    auto decoded = std::get<StreamOriginShare>(decodeEntryMessage(encodeEntryMessage(share)));
    EXPECT_EQ(decoded.node, "node-1");
    std::sort(decoded.origins.begin(), decoded.origins.end(),
        [](const auto& a, const auto& b) { return a.request < b.request; });
    EXPECT_EQ(
        decoded.origins, (std::vector<StreamOrigin> { { 1, "v1" }, { 3, "v1" }, { 4, "" }, { UINT64_MAX, "v2" } }));
    const Snapshot snapshot { {}, {}, false, { { "s", "v1" }, { "s", "" } }, true };
    const auto decodedSnapshot = std::get<Snapshot>(decodeEntryMessage(encodeEntryMessage(snapshot)));
    EXPECT_EQ(decodedSnapshot.versions, snapshot.versions);
    EXPECT_TRUE(decodedSnapshot.areVersionsKnown);
    const ServiceVersion version { "s", "v1" };
    EXPECT_EQ(decodeServiceVersion(encodeServiceVersion(version), "k").value(), version);
    EXPECT_FALSE(decodeServiceVersion("x", "k"));
}
