#include <Cyclamenstair/RequestFlow/EventStreamParser.h>

#include <gtest/gtest.h>

using namespace cyclamenstair;

// Events arrive in pieces of any size; none may be passed on before it is complete.
TEST(EventStreamParser, ReturnsCompleteEvents)
{
    const std::string stream = "id: 7\ndata: one\n\nid:8\r\ndata: two\r\n\r\n";
    EventStreamParser parser;
    std::string text;
    std::string ids;
    for (const char c : stream) {
        parser.append(std::string_view(&c, 1));
        while (const auto event = parser.next()) {
            text += event->text;
            ids += event->id + ",";
        }
    }
    EXPECT_EQ(text, stream);
    EXPECT_EQ(ids, "7,8,");
    EXPECT_TRUE(parser.isEmpty());
}

// Guards against dropping the bytes after the last complete event.
TEST(EventStreamParser, RetainsPartialEvent)
{
    EventStreamParser parser;
    parser.append("data: x\n\nid: 2\n");
    EXPECT_EQ(parser.next()->text, "data: x\n\n");
    EXPECT_FALSE(parser.next());
    EXPECT_EQ(parser.takeRemainder(), "id: 2\n");
    EXPECT_TRUE(parser.isEmpty());
}
