#include <Cyclamenstair/Transport/HttpListener.h>

#include <gtest/gtest.h>

namespace cyclamenstair {
namespace {

    // Guards against a stop that comes right after the start and waits for ever for the listening thread.
    TEST(HttpListener, StopsRightAfterItsStart)
    {
        for (int i = 0; i < 20; ++i) {
            HttpListener listener({});
            ASSERT_TRUE(listener.start());
        }
    }

    TEST(HttpListener, ReportsAPortThatIsTaken)
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
