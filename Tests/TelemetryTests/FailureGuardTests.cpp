#include <Cyclamenstair/Telemetry/FailureGuard.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

#include <optional>
#include <stdexcept>

using namespace cyclamenstair;

namespace {

void throwTestException() { throw std::runtime_error("test"); }

} // namespace

// Guards against state that is not restored after an exception, or that is after none.
TEST(FailureGuard, RunsTheActionAfterAnExceptionOnly)
{
    int actions = 0;
    {
        const FailureGuard guard([&] { ++actions; });
    }
    EXPECT_EQ(actions, 0);
    EXPECT_THROW(
        {
            const FailureGuard guard([&] { ++actions; });
            throwTestException();
        },
        std::runtime_error);
    EXPECT_EQ(actions, 1);
}

// Guards against a process that ends because an action throws while an exception is handled.
TEST(FailureGuard, ExceptionOfTheActionIsCounted)
{
    const auto failures = handlerFailureCount();
    EXPECT_THROW(
        {
            const FailureGuard guard(throwTestException);
            throwTestException();
        },
        std::runtime_error);
    EXPECT_EQ(handlerFailureCount(), failures + 1);
}

// Guards against an action that runs in a destructor that an earlier exception calls, although nothing fails in it.
TEST(FailureGuard, IgnoresExceptionsFromBeforeItsScope)
{
    int actions = 0;
    const auto cleanUp = [&] { const FailureGuard guard([&] { ++actions; }); };
    EXPECT_THROW(
        {
            const FailureGuard outer(cleanUp);
            throwTestException();
        },
        std::runtime_error);
    EXPECT_EQ(actions, 0);
}

// Guards against work that does not go on after an exception of the handler, and against an event loop that ends by it.
TEST(GuardedHandler, RunsTheActionAfterAnExceptionOfTheHandler)
{
    int actions = 0;
    int calls = 0;
    boost::asio::io_context context;
    boost::asio::post(context, GuardedHandler([&] { ++calls; }, [&] { ++actions; }));
    boost::asio::post(context, GuardedHandler(throwTestException, [&] { ++actions; }));
    EXPECT_NO_THROW(context.run());
    EXPECT_EQ(calls, 1);
    EXPECT_EQ(actions, 1);
}

// Guards against work that does not go on because an exception has dropped its operation.
TEST(GuardedHandler, RunsTheActionIfAnExceptionDropsTheHandler)
{
    int actions = 0;
    EXPECT_THROW(
        {
            GuardedHandler handler([] {}, [&] { ++actions; });
            const auto moved = std::move(handler);
            throwTestException();
        },
        std::runtime_error);
    EXPECT_EQ(actions, 1);
}

// Guards against the use of objects that no longer exist when the handlers of an event loop are destroyed.
TEST(GuardedHandler, DoesNotRunTheActionAtTheEndOfTheContext)
{
    int actions = 0;
    std::optional<boost::asio::io_context> context(std::in_place);
    boost::asio::post(*context, GuardedHandler([] {}, [&] { ++actions; }));
    context.reset();
    EXPECT_EQ(actions, 0);
}
