#include <Cyclamenstair/Settings/SettingsParser.h>

#include <Cyclamenstair/Settings/SettingsAddress.h>
#include <Cyclamenstair/Settings/SettingsSchema.h>

#include <charconv>
#include <ini.h>
#include <mutex>
#include <optional>
#include <sstream>

namespace cyclamenstair {

namespace {

    /// Longest line. A list of 300 addresses of nodes with their ports fits; inih reads only 200 bytes by default.
    constexpr size_t maxLineBytes = 8192;

    /// Line by which a file declares that it ends with `lastLine`, so that a file that was cut off between two lines
    /// can be told from a whole one. Both are comments, because earlier builds reject keys that they do not know.
    constexpr std::string_view lastLineNotice
        = "; This file is complete only with the last line \"; end of settings\".";
    constexpr std::string_view lastLine = "; end of settings";

    /// State while an INI text is parsed.
    struct IniParseState {
        std::istringstream input;
        SettingsStrictness strictness { SettingsStrictness::Strict };
        int line { 0 };
        ParsedSettings parsed;
        std::map<std::string, int> keyLines; ///< Line of each "section.key".
        std::optional<Error> error; ///< First error.
        int errorLine { 0 };
        bool declaresLastLine { false };
        bool endsWithLastLine { false };

        void fail(const std::string& message)
        {
            if (error)
                return;
            error = Error { ErrorKind::InvalidInput, "settings.read", "",
                "line " + std::to_string(line) + ": " + message };
            errorLine = line;
        }

        /// Records an entry without effect; an error if the text is parsed strictly.
        void ignore(const IgnoredSetting& setting, const std::string& message)
        {
            if (strictness == SettingsStrictness::Strict)
                fail(message);
            else
                parsed.ignored.push_back(setting);
        }
    };

    /// Lets inih read lines up to `maxLineBytes`.
    void extendLineBuffer()
    {
        static std::once_flag s_once;
        // The buffer also holds the line feed and the final zero.
        std::call_once(s_once, [] { ini_max_line = static_cast<int>(maxLineBytes) + 2; });
    }

    /// Supplies inih with lines and counts them, because its handler does not receive the line number.
    char* readIniLine(char* buffer, int size, void* stream)
    {
        auto& state = *static_cast<IniParseState*>(stream);
        std::string text;
        if (!std::getline(state.input, text))
            return nullptr;
        ++state.line;
        if (text.ends_with('\r'))
            text.pop_back();
        state.declaresLastLine = state.declaresLastLine || text == lastLineNotice;
        if (!text.empty())
            state.endsWithLastLine = text == lastLine;
        if (text.size() + 2 > static_cast<size_t>(size)) {
            state.fail("line is longer than " + std::to_string(size - 2) + " bytes");
            text.clear();
        }
        // inih ends a line at a zero byte, which a half-written file can contain.
        if (text.find('\0') != std::string::npos)
            state.fail("the line contains a zero byte");
        text += '\n';
        text.copy(buffer, text.size());
        buffer[text.size()] = '\0';
        return buffer;
    }

    template <typename Number> std::optional<Number> parseNumber(std::string_view text)
    {
        Number number {};
        const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (code != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return number;
    }

    template <typename Number> Result<nlohmann::json> parseRanged(const SettingsField& field, std::string_view text)
    {
        const auto number = parseNumber<Number>(text);
        if (!number)
            return Error { ErrorKind::InvalidInput, "", "", "'" + std::string(text) + "' is not a number" };
        const auto min = parseNumber<Number>(field.attribute("min"));
        const auto max = parseNumber<Number>(field.attribute("max"));
        // The comparisons are negated so that NaN is rejected.
        if ((min && !(*number >= *min)) || (max && !(*number <= *max)))
            return Error { ErrorKind::InvalidInput, "", "",
                "'" + std::string(text) + "' is not in the range " + field.rangeText() };
        return nlohmann::json(*number);
    }

    /// Returns whether JSON, through which the values pass, can hold the text.
    bool isValidUtf8(const std::string& text)
    {
        try {
            (void)nlohmann::json(text).dump();
            return true;
        } catch (const nlohmann::json::type_error&) {
            return false;
        }
    }

    Result<nlohmann::json> parseValue(const SettingsField& field, const std::string& text)
    {
        if (const auto* values = field.enumeration()) {
            for (const auto* value : *values->values()) {
                if (value->name()->str() == text)
                    return nlohmann::json(text);
            }
            return Error { ErrorKind::InvalidInput, "", "", "'" + text + "' is not one of " + field.rangeText() };
        }
        switch (field.baseType()) {
        case reflection::String:
            if (!isValidUtf8(text))
                return Error { ErrorKind::InvalidInput, "", "", "the value is not valid UTF-8" };
            return nlohmann::json(text);
        case reflection::Bool:
            if (text == "true" || text == "false")
                return nlohmann::json(text == "true");
            return Error { ErrorKind::InvalidInput, "", "", "'" + text + "' is not true or false" };
        case reflection::Float:
        case reflection::Double:
            return parseRanged<double>(field, text);
        default:
            return parseRanged<int64_t>(field, text);
        }
    }

    /// Returns the well-formed items of a list of addresses. Empty items, which templates leave, have no effect.
    std::string wellFormedAddresses(
        IniParseState& state, const std::string& section, const std::string& key, const std::string& text)
    {
        constexpr auto blanks = " \t";
        std::string addresses;
        std::istringstream list(text);
        for (std::string item; std::getline(list, item, ',');) {
            item.erase(0, item.find_first_not_of(blanks));
            item.erase(item.find_last_not_of(blanks) + 1);
            if (item.empty())
                continue;
            if (parseSettingsAddress(item))
                addresses += (addresses.empty() ? "" : ",") + item;
            else
                state.ignore({ IgnoredSettingReason::MalformedItem, state.line, section, key, {}, item },
                    std::string(key).append(": '").append(item).append("' is not IP:PORT"));
        }
        return addresses;
    }

    /// Returns whether an address has no host or no port, as from a template whose placeholder for it has no value.
    bool lacksHostOrPort(const std::string& address)
    {
        return address.ends_with(':') || (address.starts_with(':') && address.rfind(':') == 0);
    }

    /// Parses and stores one value.
    void storeValue(
        IniParseState& state, const std::string& sectionName, const std::string& key, const std::string& text)
    {
        const auto* section = findSettingsSection(sectionName);
        if (!section) {
            state.ignore({ IgnoredSettingReason::UnknownSection, state.line, sectionName, key,
                             similarSettingsSection(sectionName), {} },
                "unknown section [" + sectionName + "]");
            return;
        }
        const auto* field = findSettingsField(*section, key);
        if (!field) {
            state.ignore({ IgnoredSettingReason::UnknownKey, state.line, sectionName, key,
                             similarSettingsField(*section, key), {} },
                "unknown key '" + key + "' in section [" + sectionName + "]");
            return;
        }
        const auto [previous, isNew] = state.keyLines.emplace(sectionName + "." + key, state.line);
        if (!isNew) {
            state.fail("key '" + key + "' is already set on line " + std::to_string(previous->second));
            return;
        }
        auto value = parseValue(*field, text);
        if (!value) {
            const auto message = key + ": " + value.error().message;
            // Templates render a placeholder without a value as nothing.
            if (text.empty())
                state.ignore({ IgnoredSettingReason::EmptyValue, state.line, sectionName, key, {}, {} }, message);
            else
                state.fail(message);
            return;
        }
        if (field->hasAttribute("listener") && lacksHostOrPort(text)) {
            state.ignore({ IgnoredSettingReason::EmptyValue, state.line, sectionName, key, {}, {} },
                key + ": '" + text + "' is not IP:PORT");
            return;
        }
        state.parsed.values[sectionName][key] = field->hasAttribute("addresses")
            ? nlohmann::json(wellFormedAddresses(state, sectionName, key, text))
            : value.value();
        if (!text.empty())
            state.parsed.texts[sectionName + "." + key] = text;
    }

    int handleIniEntry(void* user, const char* section, const char* key, const char* value)
    {
        auto& state = *static_cast<IniParseState*>(user);
        if (!state.error)
            storeValue(state, section, key, value);
        return state.error ? 0 : 1;
    }

    /// Returns a JSON object with all sections and the defaults of strings, which FlatBuffers cannot express.
    nlohmann::json defaultValues()
    {
        nlohmann::json values = nlohmann::json::object();
        for (const auto& section : settingsSections()) {
            values[section.name] = nlohmann::json::object();
            for (const auto& field : section.fields) {
                if (field.baseType() == reflection::String)
                    values[section.name][field.name()] = field.defaultText();
            }
        }
        return values;
    }

} // namespace

Result<ParsedSettings> parseSettings(std::string_view iniText, SettingsStrictness strictness)
{
    IniParseState state;
    state.input.str(std::string(iniText));
    state.strictness = strictness;
    state.parsed.values = defaultValues();
    extendLineBuffer();
    const int firstInvalidLine = ini_parse_stream(readIniLine, &state, handleIniEntry, &state);
    if (state.error && (firstInvalidLine == 0 || state.errorLine <= firstInvalidLine))
        return *state.error;
    if (firstInvalidLine != 0)
        return Error { ErrorKind::InvalidInput, "settings.read", "",
            "line " + std::to_string(firstInvalidLine) + ": expected a section, a key or a comment" };
    if (state.declaresLastLine && !state.endsWithLastLine)
        return Error { ErrorKind::InvalidInput, "settings.complete", "",
            "the file was cut off: its last line is not \"" + std::string(lastLine) + "\"" };
    return std::move(state.parsed);
}

} // namespace cyclamenstair
