#include <Cyclamenstair/Transport/HttpListener.h>

#include <gtest/gtest.h>

namespace cyclamenstair {
namespace {

    // Guards against a stop immediately after the start that waits forever for the listening thread.
    TEST(HttpListener, StopsImmediatelyAfterStart)
    {
        for (int i = 0; i < 20; ++i) {
            HttpListener listener({});
            ASSERT_TRUE(listener.start());
        }
    }

    // Guards against two listeners that share a port, and against an error without the address.
    TEST(HttpListener, ReportsPortInUse)
    {
        HttpListener first({});
        const int port = first.start().value();
        HttpListener second({ "127.0.0.1", port, 1, 1024, "", "" });
        const auto started = second.start();
        ASSERT_FALSE(started);
        EXPECT_EQ(started.error().peer, "127.0.0.1:" + std::to_string(port));
    }

} // namespace
} // namespace cyclamenstair
