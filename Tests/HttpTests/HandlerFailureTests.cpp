#include <Tests/HttpTests/HttpTestServers.h>

using namespace cyclamenstair;

// Guards against a process that ends because a handler throws an object that is no std::exception.
TEST(EventLoop, ExceptionsOfAnyTypeDoNotEndTheLoop)
{
    EventLoop loop;
    loop.start();
    std::promise<void> done;
    loop.post([] { throw 1; });
    loop.post([] { throw std::runtime_error("test"); });
    loop.post([&] { done.set_value(); });
    EXPECT_EQ(done.get_future().wait_for(waitTimeout), std::future_status::ready);
    loop.stop();
}
