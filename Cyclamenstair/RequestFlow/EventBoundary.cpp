#include <Cyclamenstair/RequestFlow/EventBoundary.h>

namespace cyclamenstair {

namespace {

    /// Returns the value of the event's "id" field.
    std::string idOf(std::string_view event)
    {
        constexpr std::string_view field = "id:";
        while (!event.empty()) {
            const auto end = event.find('\n');
            auto line = event.substr(0, end);
            event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
            if (!line.starts_with(field))
                continue;
            line.remove_prefix(field.size());
            if (line.starts_with(' '))
                line.remove_prefix(1);
            if (line.ends_with('\r'))
                line.remove_suffix(1);
            return std::string(line);
        }
        return {};
    }

} // namespace

std::optional<WholeEvent> EventBoundary::next()
{
    size_t end = m_bytes.find("\n\n");
    size_t length = 2;
    if (const auto other = m_bytes.find("\r\n\r\n"); other < end) {
        end = other;
        length = 4;
    }
    if (end == std::string::npos)
        return std::nullopt;
    WholeEvent event;
    event.text = m_bytes.substr(0, end + length);
    event.id = idOf(event.text);
    m_bytes.erase(0, end + length);
    return event;
}

} // namespace cyclamenstair
