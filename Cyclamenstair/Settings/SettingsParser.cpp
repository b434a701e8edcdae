#include <Cyclamenstair/Settings/SettingsParser.h>

#include <Cyclamenstair/Settings/SettingsAddress.h>
#include <Cyclamenstair/Settings/SettingsNumber.h>
#include <Cyclamenstair/Settings/SettingsSchema.h>

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

    /// Begin of a text in UTF-8 as some editors write it.
    constexpr std::string_view byteOrderMark = "\xef\xbb\xbf";

    /// Returns the text without the blanks around it.
    std::string_view trimmed(std::string_view text)
    {
        constexpr std::string_view blanks = " \t\r";
        const auto begin = text.find_first_not_of(blanks);
        if (begin == std::string_view::npos)
            return {};
        return text.substr(begin, text.find_last_not_of(blanks) - begin + 1);
    }

    /// State while an INI text is parsed.
    struct IniParseState {
        std::istringstream input;
        SettingsStrictness strictness { SettingsStrictness::Strict };
        int line { 0 };
        ParsedSettings parsed;
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
        if (state.line == 1 && text.starts_with(byteOrderMark))
            text.erase(0, byteOrderMark.size());
        // inih takes an indented line for the continuation of the value before it.
        text = trimmed(text);
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

    Result<SettingsValue> parseValue(const SettingsField& field, const std::string& text)
    {
        if (const auto* values = field.enumeration()) {
            for (const auto* value : *values->values()) {
                if (value->name()->str() == text)
                    return SettingsValue { text, {} };
            }
            return Error { ErrorKind::InvalidInput, "", "", "'" + text + "' is not one of " + field.rangeText() };
        }
        switch (field.baseType()) {
        case reflection::String:
            if (!isValidUtf8(text))
                return Error { ErrorKind::InvalidInput, "", "", "the value is not valid UTF-8" };
            return SettingsValue { text, {} };
        case reflection::Bool:
            if (text == "true" || text == "false")
                return SettingsValue { text == "true", {} };
            return Error { ErrorKind::InvalidInput, "", "", "'" + text + "' is not true or false" };
        default:
            return parseSettingsNumber(field, text);
        }
    }

    /// Returns the value without the pair of quotes around it, with which some templates write each value.
    std::string unquoted(const std::string& text)
    {
        const bool isQuoted
            = text.size() >= 2 && (text.front() == '"' || text.front() == '\'') && text.front() == text.back();
        return isQuoted ? std::string(trimmed(std::string_view(text).substr(1, text.size() - 2))) : text;
    }

    std::string addressText(const SettingsAddress& address)
    {
        return address.host + ":" + std::to_string(address.port);
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
            if (const auto address = parseSettingsAddress(item))
                addresses += (addresses.empty() ? "" : ",") + addressText(*address);
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

    /// Stores an address in its usual form. Returns false if the entry has no effect.
    bool storeAddress(
        IniParseState& state, const std::string& section, const SettingsField& field, const std::string& text)
    {
        const auto key = field.name();
        const auto message = key + ": '" + text + "' is not IP:PORT";
        if (lacksHostOrPort(text)) {
            state.ignore({ IgnoredSettingReason::EmptyValue, state.line, section, key, {}, {} }, message);
            return false;
        }
        const auto address = parseSettingsAddress(text);
        if (!address && field.hasAttribute("dispensable")) {
            state.ignore({ IgnoredSettingReason::MalformedValue, state.line, section, key, {}, text }, message);
            return false;
        }
        // Other malformed addresses are reported by what listens or connects there.
        state.parsed.values[section][key] = address ? addressText(*address) : text;
        return true;
    }

    /// Reports a value that its key cannot take. A start goes on with the default where that serves: one malformed
    /// value in the platform's template would otherwise end every node.
    void rejectValue(IniParseState& state, const std::string& section, const SettingsField& field,
        const std::string& text, const std::string& error)
    {
        const auto key = field.name();
        const auto message = key + ": " + error;
        if (field.baseType() == reflection::String) {
            state.fail(message);
            return;
        }
        // Templates render a placeholder without a value as nothing.
        if (text.empty()) {
            state.ignore({ IgnoredSettingReason::EmptyValue, state.line, section, key, {}, {} }, message);
            return;
        }
        if (field.hasAttribute("exact")) {
            state.fail(message);
            return;
        }
        const auto reason
            = field.enumeration() ? IgnoredSettingReason::UnknownName : IgnoredSettingReason::MalformedValue;
        state.ignore({ reason, state.line, section, key, {}, text }, message);
    }

    /// Returns a number without the decimals of a real one that is whole.
    std::string numberText(const nlohmann::json& number)
    {
        if (!number.is_number_float())
            return number.dump();
        std::ostringstream text;
        text << number.get<double>();
        return text.str();
    }

    /// Returns the words for a number that its key cannot take.
    std::string describe(AdjustedSettingReason reason, const SettingsField& field)
    {
        return reason == AdjustedSettingReason::NotWhole ? "is not a whole number"
                                                         : "is not in the range " + field.rangeText();
    }

    /// Parses and stores one value.
    void storeValue(
        IniParseState& state, const std::string& sectionName, const std::string& key, const std::string& rawText)
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
        const auto [previous, isNew] = state.parsed.lines.emplace(sectionName + "." + key, state.line);
        if (!isNew) {
            state.fail("key '" + key + "' is already set on line " + std::to_string(previous->second));
            return;
        }
        auto text = unquoted(rawText);
        const auto value = parseValue(*field, text);
        if (!value) {
            rejectValue(state, sectionName, *field, text, value.error().message);
            return;
        }
        if (const auto adjustment = value.value().adjustment) {
            if (state.strictness == SettingsStrictness::Strict || field->hasAttribute("exact")) {
                state.fail(key + ": '" + text + "' " + describe(*adjustment, *field));
                return;
            }
            state.parsed.adjusted.push_back(
                { *adjustment, state.line, sectionName, key, text, numberText(value.value().value) });
        }
        auto& stored = state.parsed.values[sectionName][key];
        if (field->hasAttribute("addresses")) {
            stored = wellFormedAddresses(state, sectionName, key, text);
        } else if (field->hasAttribute("address") && !text.empty()) {
            if (!storeAddress(state, sectionName, *field, text))
                return;
        } else {
            stored = value.value().value;
        }
        if (text.empty())
            return;
        const bool isText = stored.is_string();
        state.parsed.texts[sectionName + "." + key] = isText ? stored.get<std::string>() : stored.dump();
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
