#include <Cyclamenstair/RequestFlow/EventBoundary.h>

#include <gtest/gtest.h>

using namespace cyclamenstair;

// Events arrive in pieces of any size; none may be passed on before it is whole.
TEST(EventBoundary, YieldsWholeEventsFromAnyPieces)
{
    const std::string stream = "id: 7\ndata: one\n\nid:8\r\ndata: two\r\n\r\n";
    EventBoundary boundary;
    std::string seen;
    std::string ids;
    for (const char c : stream) {
        boundary.append(std::string_view(&c, 1));
        while (const auto event = boundary.next()) {
            seen += event->text;
            ids += event->id + ",";
        }
    }
    EXPECT_EQ(seen, stream);
    EXPECT_EQ(ids, "7,8,");
    EXPECT_TRUE(boundary.isEmpty());
}

TEST(EventBoundary, KeepsTheRest)
{
    EventBoundary boundary;
    boundary.append("data: x\n\nid: 2\n");
    EXPECT_EQ(boundary.next()->text, "data: x\n\n");
    EXPECT_FALSE(boundary.next());
    EXPECT_EQ(boundary.takeRest(), "id: 2\n");
    EXPECT_TRUE(boundary.isEmpty());
}
