#include <Cyclamenstair/Core/Base64.h>
#include <Cyclamenstair/Core/Crypto.h>
#include <Cyclamenstair/Core/EscapedText.h>
#include <Cyclamenstair/Core/Hash.h>
#include <Cyclamenstair/Core/Result.h>
#include <Cyclamenstair/Core/Sharded.h>

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <thread>
#include <vector>

namespace cyclamenstair {
namespace {

    // Guards against an encoding that loses bytes of binary data, such as zero bytes or the last group.
    RC_GTEST_PROP(Base64, roundTripsArbitraryBytes, (const std::string& bytes))
    {
        RC_ASSERT(decodeBase64(encodeBase64(bytes)) == bytes);
    }

    TEST(Base64, RejectsMalformedText)
    {
        EXPECT_THROW(decodeBase64("a"), Exception);
        EXPECT_THROW(decodeBase64("****"), Exception);
    }

    // Guards against bytes of a peer that reach the log as they are or without a bound.
    TEST(EscapedText, EscapesAndBounds)
    {
        EXPECT_EQ(escapeText("X-Name: 1", 64), "X-Name: 1");
        EXPECT_EQ(escapeText(std::string_view("a\0\x1b\x7f\xe9\r\n\\", 8), 64), "a\\x00\\x1b\\x7f\\xe9\\x0d\\x0a\\x5c");
        EXPECT_EQ(escapeText("abcdef", 3), "abc...");
        EXPECT_EQ(escapeText("abc", 3), "abc");
    }

    // Guards against a hash that verifies a different token.
    RC_GTEST_PROP(Token, verifiesOnlyTheSameToken, (const std::string& token, const std::string& other))
    {
        const auto hash = hashToken(token);
        RC_ASSERT(verifyToken(token, hash));
        RC_ASSERT(verifyToken(other, hash) == (other == token));
    }

    TEST(Token, RejectsMalformedHash)
    {
        EXPECT_FALSE(verifyToken("", ""));
        EXPECT_FALSE(verifyToken("token", "no separator"));
    }

    // Guards against rendezvous hashing that moves keys between the remaining nodes when a node is removed.
    RC_GTEST_PROP(Rendezvous, removalMovesOnlyKeysOfRemovedNode, (const std::string& key))
    {
        const std::vector<std::string> all { "n1", "n2", "n3", "n4", "n5" };
        const auto owner = rendezvousOwner(key, all);
        for (const auto& removed : all) {
            auto remaining = all;
            std::erase(remaining, removed);
            if (removed != owner)
                RC_ASSERT(rendezvousOwner(key, remaining) == owner);
        }
    }

    TEST(Result, ValueThrowsHeldError)
    {
        const Result<int> result(Error { ErrorKind::Timeout, "step", "peer", "message" });
        EXPECT_FALSE(result);
        try {
            result.value();
            FAIL() << "value() returned although the result holds an error";
        } catch (const Exception& exception) {
            EXPECT_EQ(exception.error().step, "step");
            EXPECT_EQ(exception.error().peer, "peer");
        }
    }

    // Guards against lost updates when several threads modify the same shard.
    TEST(Sharded, CountsConcurrentUpdates)
    {
        Sharded<int, std::map<int, int>> counts;
        std::vector<std::thread> threads;
        for (int thread = 0; thread < 8; ++thread) {
            threads.emplace_back([&] {
                for (int i = 0; i < 1000; ++i)
                    counts.withShard(i % 50, [&](auto& shard) { ++shard[i % 50]; });
            });
        }
        for (auto& thread : threads)
            thread.join();
        int sum = 0;
        counts.forEachShard([&](const auto& shard) {
            for (const auto& [key, count] : shard)
                sum += count;
        });
        EXPECT_EQ(sum, 8000);
    }

} // namespace
} // namespace cyclamenstair
