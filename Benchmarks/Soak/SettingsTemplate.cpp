#include <Benchmarks/Soak/SettingsTemplate.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <vector>

namespace cyclamenstair {

namespace {

    using Json = nlohmann::json;

    constexpr std::string_view openingBraces = "{{";
    constexpr std::string_view closingBraces = "}}";
    constexpr size_t maxNumberSize
        = 512; ///< Without an exponent, the largest and smallest numbers have over 300 digits.

    std::string formatNumber(const Json& value, NumberForm form)
    {
        const bool isInteger = value.is_number_integer();
        const auto number = value.get<double>();
        if (isInteger && (form == NumberForm::Typed || form == NumberForm::Whole))
            return value.dump();
        std::array<char, maxNumberSize> buffer {};
        const auto format = form == NumberForm::Exponent ? std::chars_format::scientific : std::chars_format::fixed;
        const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), number, format).ptr;
        std::string text(buffer.data(), end);
        const bool isWhole = std::trunc(number) == number;
        if (isWhole && (form == NumberForm::Typed || form == NumberForm::Decimal))
            text += ".0";
        return text;
    }

    std::string formatValue(const Json& value, NumberForm form)
    {
        if (value.is_null())
            return {};
        if (value.is_string())
            return value.get<std::string>();
        if (value.is_number())
            return formatNumber(value, form);
        if (!value.is_array())
            return value.dump();
        std::string text;
        for (const auto& element : value)
            text += (text.empty() ? "" : ",") + formatValue(element, form);
        return text;
    }

    /// Returns an element of a table or list by its key or index, or null if there is none.
    const Json* findElement(const Json& value, const std::string& name)
    {
        if (value.is_object()) {
            const auto found = value.find(name);
            return found == value.end() ? nullptr : &*found;
        }
        size_t index = 0;
        const auto [end, error] = std::from_chars(name.data(), name.data() + name.size(), index);
        if (!value.is_array() || error != std::errc() || end != name.data() + name.size() || index >= value.size())
            return nullptr;
        return &value[index];
    }

    const Json* findPath(const Json& value, std::string_view path)
    {
        const Json* found = &value;
        while (found && !path.empty()) {
            const auto dot = path.find('.');
            found = findElement(*found, std::string(path.substr(0, dot)));
            path = dot == std::string_view::npos ? std::string_view() : path.substr(dot + 1);
        }
        return found;
    }

    /// Entry that a section is rendered for.
    struct Scope {
        const Json* value;
        std::string key;
        bool isLast { true };
    };

    class Renderer {
    public:
        Renderer(std::string_view text, const Json& fields, NumberForm form)
            : m_text(text)
            , m_form(form)
            , m_scopes { Scope { &fields, "", true } }
        {
        }

        std::string render()
        {
            std::string output;
            renderSection("", &output);
            return output;
        }

    private:
        [[noreturn]] static void fail(const std::string& message)
        {
            throw Exception(Error { ErrorKind::InvalidInput, "template.render", "", message });
        }

        /// Renders up to the end of the section `name`, or only moves past it if `output` is null.
        void renderSection(const std::string& name, std::string* output)
        {
            while (true) {
                const auto opening = m_text.find(openingBraces, m_position);
                if (output)
                    output->append(m_text.substr(m_position, opening - m_position));
                if (opening == std::string_view::npos) {
                    if (!name.empty())
                        fail("the section {{#" + name + "}} is not closed");
                    m_position = m_text.size();
                    return;
                }
                const auto closing = m_text.find(closingBraces, opening);
                if (closing == std::string_view::npos)
                    fail("a placeholder is not closed: " + std::string(m_text.substr(opening)));
                const std::string tag(
                    m_text.substr(opening + openingBraces.size(), closing - opening - openingBraces.size()));
                m_position = closing + closingBraces.size();
                if (tag.starts_with('/')) {
                    if (name.empty() || tag.substr(1) != name)
                        fail("{{" + tag + "}} closes no open section");
                    return;
                }
                if (tag.starts_with('#'))
                    renderEntries(tag.substr(1), output);
                else if (tag.starts_with('^'))
                    renderSection(tag.substr(1), isSet(find(tag.substr(1))) ? nullptr : output);
                else if (output)
                    output->append(renderPlaceholder(tag));
            }
        }

        void renderEntries(const std::string& name, std::string* output)
        {
            const auto* value = output ? find(name) : nullptr;
            const auto begin = m_position;
            std::vector<Scope> entries;
            if (value && value->is_structured()) {
                for (const auto& entry : value->items())
                    entries.push_back({ &entry.value(), entry.key(), entries.size() + 1 == value->size() });
            } else if (isSet(value)) {
                entries.push_back({ value, "", true });
            }
            if (entries.empty())
                renderSection(name, nullptr);
            for (const auto& entry : entries) {
                m_position = begin;
                m_scopes.push_back(entry);
                renderSection(name, output);
                m_scopes.pop_back();
            }
        }

        std::string renderPlaceholder(const std::string& tag) const
        {
            if (tag == "@")
                return m_scopes.back().key;
            if (tag == ",")
                return m_scopes.back().isLast ? "" : ",";
            const auto* value = find(tag);
            return value ? formatValue(*value, m_form) : "";
        }

        /// Looks a path up in the innermost entry that has its first name.
        const Json* find(const std::string& path) const
        {
            if (path == ".")
                return m_scopes.back().value;
            const auto first = path.substr(0, path.find('.'));
            const auto scope = std::find_if(m_scopes.rbegin(), m_scopes.rend(),
                [&](const Scope& candidate) { return findElement(*candidate.value, first) != nullptr; });
            return scope == m_scopes.rend() ? nullptr : findPath(*scope->value, path);
        }

        static bool isSet(const Json* value) { return value && !value->is_null() && *value != false; }

        std::string_view m_text;
        NumberForm m_form;
        std::vector<Scope> m_scopes;
        size_t m_position { 0 };
    };

} // namespace

Result<std::string> renderTemplate(std::string_view text, const nlohmann::json& fields, NumberForm form)
{
    try {
        return Renderer(text, fields, form).render();
    } catch (const Exception& exception) {
        return exception.error();
    }
}

} // namespace cyclamenstair
