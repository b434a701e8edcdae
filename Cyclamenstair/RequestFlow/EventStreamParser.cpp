#include <Cyclamenstair/RequestFlow/EventStreamParser.h>

namespace cyclamenstair {

std::string eventFieldValue(std::string_view event, std::string_view name)
{
    std::string value;
    while (!event.empty()) {
        const auto end = event.find('\n');
        auto line = event.substr(0, end);
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (!line.starts_with(name) || line.size() == name.size() || line[name.size()] != ':')
            continue;
        line.remove_prefix(name.size() + 1);
        value += line.starts_with(' ') ? line.substr(1) : line;
    }
    return value;
}

std::optional<ServerSentEvent> EventStreamParser::next()
{
    size_t end = m_bytes.find("\n\n");
    size_t length = 2;
    if (const auto crlf = m_bytes.find("\r\n\r\n"); crlf < end) {
        end = crlf;
        length = 4;
    }
    if (end == std::string::npos)
        return std::nullopt;
    ServerSentEvent event;
    event.text = m_bytes.substr(0, end + length);
    event.id = eventFieldValue(event.text, "id");
    m_bytes.erase(0, end + length);
    return event;
}

} // namespace cyclamenstair
