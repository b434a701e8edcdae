#include <Cyclamenstair/Node/EventSplitter.h>

#include <nlohmann/json.hpp>

namespace cyclamenstair {

namespace {

    using Json = nlohmann::json;

    /// Returns the content of the event's data lines.
    std::string dataOf(std::string_view event)
    {
        constexpr std::string_view field = "data:";
        std::string data;
        while (!event.empty()) {
            const auto end = event.find('\n');
            auto line = event.substr(0, end);
            event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
            if (!line.empty() && line.back() == '\r')
                line.remove_suffix(1);
            if (!line.starts_with(field))
                continue;
            line.remove_prefix(field.size());
            data += line.starts_with(' ') ? line.substr(1) : line;
        }
        return data;
    }

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
    // An event ends with an empty line.
    size_t end = m_bytes.find("\n\n");
    size_t length = 2;
    if (const auto other = m_bytes.find("\r\n\r\n"); other < end) {
        end = other;
        length = 4;
    }
    if (end == std::string::npos)
        return std::nullopt;
    StreamEvent event;
    event.text = m_bytes.substr(0, end + length);
    m_bytes.erase(0, end + length);

    const auto data = dataOf(event.text);
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
