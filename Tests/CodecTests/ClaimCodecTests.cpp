#include <Cyclamenstair/Codec/ClaimCodec.h>
#include <Cyclamenstair/Codec/PeerMessageCodec.h>
#include <Cyclamenstair/Codec/UsageCodec.h>
#include <Cyclamenstair/Core/Error.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cyclamenstair {
namespace {

    // Guards against a state or a body with zero bytes that changes in the store.
    TEST(ClaimCodec, RoundTripsClaimInEveryState)
    {
        for (const auto& row : EnumNames<ClaimState>::table) {
            const ClaimRecord claim { row.value, "n/1", "t", 5, { 201, "text/plain", std::string("\0b", 2) } };
            EXPECT_EQ(decodeClaim(encodeClaim(claim)), claim);
        }
    }

    // Guards against a stored answer that no HTTP server may give, which would reach the caller that repeats a request.
    TEST(ClaimCodec, AnswerWithInvalidStatusIsUnknown)
    {
        for (const int status : { -1, 0, 99, 100, 199, 600, 999 }) {
            const auto claim
                = decodeClaim(encodeClaim({ ClaimState::Answered, "n/1", "t", 5, { status, "a/b", "c" } }));
            EXPECT_EQ(claim.state, ClaimState::Unknown) << status;
            EXPECT_EQ(claim.token, "t");
            const auto message = decodePeerMessage(
                encodePeerMessage(ClaimAnswerMessage { ClaimProgress::Finished, status, "a/b", "c" }));
            EXPECT_EQ(std::get<ClaimAnswerMessage>(message).progress, ClaimProgress::NotKnown) << status;
        }
        for (const int status : { 200, 404, 599 }) {
            const ClaimAnswerMessage answer { ClaimProgress::Finished, status, "a/b", "c" };
            EXPECT_EQ(std::get<ClaimAnswerMessage>(decodePeerMessage(encodePeerMessage(answer))).status, status);
        }
    }

    TEST(UsageCodec, RoundTripsDemands)
    {
        const CallerDemands demands { { "a", 1.5 }, { "b", 20 } };
        EXPECT_EQ(decodeUsage(encodeUsage(demands)), demands);
    }

    // Guards against reads beyond the end of a corrupted or truncated buffer, and against exceptions of other types
    // than Exception.
    RC_GTEST_PROP(ClaimCodec, corruptedBytesAreRejectedOrDecoded, ())
    {
        auto bytes = encodeClaim({ ClaimState::Answered, "n/1", "t", 5, { 200, "text/plain", "body" } });
        const auto index = *rc::gen::inRange<size_t>(0, bytes.size());
        bytes[index] = static_cast<char>(*rc::gen::arbitrary<uint8_t>());
        bytes.resize(*rc::gen::inRange<size_t>(0, bytes.size() + 1));
        try {
            decodeClaim(bytes);
        } catch (const Exception& exception) {
            RC_ASSERT(exception.error().kind == ErrorKind::InvalidInput);
        }
    }

} // namespace
} // namespace cyclamenstair
