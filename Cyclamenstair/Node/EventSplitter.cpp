#include <Cyclamenstair/Node/EventSplitter.h>

#include <nlohmann/json.hpp>

namespace cyclamenstair {

namespace {

    using Json = nlohmann::json;

    bool hasText(const Json& object, const char* name)
    {
        const auto value = object.is_object() ? object.find(name) : object.end();
        return object.is_object() && value != object.end() && value->is_string()
            && !value->get_ref<const std::string&>().empty();
    }

    void readChoice(const Json& choice, StreamEvent& event)
    {
        if (!choice.is_object())
            return;
        event.hasToken = hasText(choice, "text") || (choice.contains("delta") && hasText(choice["delta"], "content"));
        event.isFinish = hasText(choice, "finish_reason");
    }

} // namespace

std::optional<StreamEvent> EventSplitter::next()
{
    auto whole = m_events.next();
    if (!whole)
        return std::nullopt;
    StreamEvent event;
    event.text = std::move(whole->text);
    const auto data = eventFieldValue(event.text, "data");
    event.isDone = data == "[DONE]";
    if (event.isDone || data.empty())
        return event;
    const auto json = Json::parse(data, nullptr, false);
    event.isError = !json.is_object() || (json.contains("error") && !json["error"].is_null());
    if (!event.isError && json.contains("choices") && json["choices"].is_array() && !json["choices"].empty())
        readChoice(json["choices"].front(), event);
    return event;
}

} // namespace cyclamenstair
