#include <Cyclamenstair/Node/CompletionEventParser.h>

#include <nlohmann/json.hpp>

namespace cyclamenstair {

namespace {

    using Json = nlohmann::json;

    bool hasNonEmptyString(const Json& object, const char* name)
    {
        const auto value = object.is_object() ? object.find(name) : object.end();
        return object.is_object() && value != object.end() && value->is_string()
            && !value->get_ref<const std::string&>().empty();
    }

    void parseChoice(const Json& choice, CompletionEvent& event)
    {
        if (!choice.is_object())
            return;
        event.hasToken = hasNonEmptyString(choice, "text")
            || (choice.contains("delta") && hasNonEmptyString(choice["delta"], "content"));
        event.hasFinishReason = hasNonEmptyString(choice, "finish_reason");
    }

} // namespace

std::optional<CompletionEvent> CompletionEventParser::next()
{
    auto rawEvent = m_boundary.next();
    if (!rawEvent)
        return std::nullopt;
    CompletionEvent event;
    event.text = std::move(rawEvent->text);
    const auto data = eventFieldValue(event.text, "data");
    event.isStreamDone = data == "[DONE]";
    if (event.isStreamDone || data.empty())
        return event;
    const auto json = Json::parse(data, nullptr, false);
    event.isError = !json.is_object() || (json.contains("error") && !json["error"].is_null());
    if (!event.isError && json.contains("choices") && json["choices"].is_array() && !json["choices"].empty())
        parseChoice(json["choices"].front(), event);
    return event;
}

} // namespace cyclamenstair
