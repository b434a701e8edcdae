#include <Cyclamenstair/Codec/NodeStatusCodec.h>
#include <Cyclamenstair/Core/Error.h>

#include <gtest/gtest.h>

using namespace cyclamenstair;

TEST(NodeStatusCodec, KeepsEveryField)
{
    const NodeStatus status { "node-1", { { { "drafting", "draft", "a1" }, { 2.5, 7, 3 } } } };
    const auto decoded = decodeNodeStatus(encodeNodeStatus(status));
    EXPECT_EQ(decoded.node, "node-1");
    ASSERT_EQ(decoded.demands.size(), 1U);
    const auto& [artifact, load] = *decoded.demands.begin();
    EXPECT_EQ(artifact, (ArtifactKey { "drafting", "draft", "a1" }));
    EXPECT_EQ(load.arrivalsPerSecond, 2.5);
    EXPECT_EQ(load.inProgress, 7U);
    EXPECT_EQ(load.waiting, 3U);
}

// Other writers can leave anything in the store.
TEST(NodeStatusCodec, RejectsMalformedBytes)
{
    EXPECT_THROW(decodeNodeStatus(""), Exception);
    EXPECT_THROW(decodeNodeStatus("not a record at all"), Exception);
}
