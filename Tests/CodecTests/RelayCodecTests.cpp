#include <Cyclamenstair/Codec/NodeEntryCodec.h>
#include <Cyclamenstair/Codec/RelayCodec.h>

#include <gtest/gtest.h>

namespace cyclamenstair {

// An absent version or team differs from an empty one: it decides at which targets the request may run.
TEST(RelayCodec, RoundTripsRequest)
{
    const RelayRequest minimal { "node-1", 7, 2 };
    EXPECT_EQ(decodeRelayRequest(encodeRelayRequest(minimal)).value(), minimal);
    const RelayRequest full { "node-1", 7, 2, "v2", "", 0 };
    EXPECT_EQ(decodeRelayRequest(encodeRelayRequest(full)).value(), full);
}

TEST(RelayCodec, RoundTripsResponse)
{
    const RelayResponse answer { RelayedTargetAnswer { "v2" } };
    EXPECT_EQ(decodeRelayResponse(encodeRelayResponse(answer)).value(), answer);
    for (const auto& row : EnumNames<RelayRefusalKind>::table) {
        const RelayResponse refusal { RelayRefusal { row.value, "reason", milliseconds(1500) } };
        EXPECT_EQ(decodeRelayResponse(encodeRelayResponse(refusal)).value(), refusal);
    }
    const RelayResponse immediate { RelayRefusal { RelayRefusalKind::NotRun, "stopping", Duration(0) } };
    EXPECT_EQ(decodeRelayResponse(encodeRelayResponse(immediate)).value(), immediate);
}

// A node of another version or a stranger on the network must not end the process.
TEST(RelayCodec, RejectsMalformedValues)
{
    for (const char* value : { "", "x", "AAAA", "////////////////////////////////" }) {
        EXPECT_FALSE(decodeRelayRequest(value)) << value;
        EXPECT_FALSE(decodeRelayResponse(value)) << value;
    }
}

TEST(RelayCodec, NodeEntryNamesTheRelayAddress)
{
    const PeerNode node { "10.0.0.1:8144", "domain-1", 0.12, "10.0.0.1:7395" };
    EXPECT_EQ(decodeNodeEntry(encodeNodeEntry(node), "node-1").value(), node);
}

} // namespace cyclamenstair
