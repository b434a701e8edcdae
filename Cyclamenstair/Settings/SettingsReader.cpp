#include <Cyclamenstair/Settings/SettingsReader.h>

#include <Cyclamenstair/Settings/SettingsSchema.h>

#include <charconv>
#include <fstream>
#include <ini.h>
#include <map>
#include <sstream>

#include <flatbuffers/idl.h>
#include <flatbuffers/minireflect.h>
#include <nlohmann/json.hpp>

#include <Cyclamenstair/Generated/Settings_bfbs_generated.h>

namespace cyclamenstair {

namespace {

    /// State while an INI text is parsed.
    struct IniParseState {
        std::istringstream input;
        int line { 0 };
        nlohmann::json values;
        std::map<std::string, int> keyLines; ///< Line of each "section.key".
        std::optional<Error> error; ///< First error.
        int errorLine { 0 };

        void fail(const std::string& message)
        {
            if (error)
                return;
            error = Error { ErrorKind::InvalidInput, "settings.read", "",
                "line " + std::to_string(line) + ": " + message };
            errorLine = line;
        }
    };

    /// Supplies inih with lines and counts them, because its handler does not receive the line number.
    char* readIniLine(char* buffer, int size, void* stream)
    {
        auto& state = *static_cast<IniParseState*>(stream);
        std::string text;
        if (!std::getline(state.input, text))
            return nullptr;
        ++state.line;
        if (text.size() + 2 > static_cast<size_t>(size)) {
            state.fail("line is longer than " + std::to_string(size - 2) + " bytes");
            text.clear();
        }
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

    /// Parses and stores one value; returns a message if it is invalid.
    std::optional<std::string> storeValue(
        IniParseState& state, const std::string& sectionName, const std::string& key, const std::string& text)
    {
        const auto* section = findSettingsSection(sectionName);
        if (!section)
            return "unknown section [" + sectionName + "]";
        const auto* field = findSettingsField(*section, key);
        if (!field)
            return "unknown key '" + key + "' in section [" + sectionName + "]";
        const auto [previous, isNew] = state.keyLines.emplace(sectionName + "." + key, state.line);
        if (!isNew)
            return "key '" + key + "' is already set on line " + std::to_string(previous->second);
        auto value = parseValue(*field, text);
        if (!value)
            return key + ": " + value.error().message;
        state.values[sectionName][key] = value.value();
        return std::nullopt;
    }

    int handleIniEntry(void* user, const char* section, const char* key, const char* value)
    {
        auto& state = *static_cast<IniParseState*>(user);
        if (state.error)
            return 0;
        if (const auto message = storeValue(state, section, key, value))
            state.fail(*message);
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

    Result<schema::SettingsT> unpack(const nlohmann::json& values)
    {
        flatbuffers::Parser parser;
        if (!parser.Deserialize(schema::SettingsBinarySchema::data(), schema::SettingsBinarySchema::size())
            || !parser.Parse(values.dump().c_str()))
            return Error { ErrorKind::InvalidInput, "settings.read", "", parser.error_ };
        schema::SettingsT settings;
        schema::GetSettings(parser.builder_.GetBufferPointer())->UnPackTo(&settings);
        return settings;
    }

    nlohmann::json toJson(const schema::SettingsT& settings)
    {
        flatbuffers::FlatBufferBuilder builder;
        builder.ForceDefaults(true);
        builder.Finish(schema::Settings::Pack(builder, &settings));
        flatbuffers::IDLOptions options;
        options.strict_json = true;
        options.output_default_scalars_in_json = true;
        flatbuffers::Parser parser(options);
        std::string text;
        parser.Deserialize(schema::SettingsBinarySchema::data(), schema::SettingsBinarySchema::size());
        flatbuffers::GenerateText(parser, builder.GetBufferPointer(), &text);
        return nlohmann::json::parse(text);
    }

} // namespace

Result<schema::SettingsT> SettingsReader::create(std::string_view iniText)
{
    IniParseState state;
    state.input.str(std::string(iniText));
    state.values = defaultValues();
    const int firstInvalidLine = ini_parse_stream(readIniLine, &state, handleIniEntry, &state);
    if (state.error && (firstInvalidLine == 0 || state.errorLine <= firstInvalidLine))
        return *state.error;
    if (firstInvalidLine != 0)
        return Error { ErrorKind::InvalidInput, "settings.read", "",
            "line " + std::to_string(firstInvalidLine) + ": expected a section, a key or a comment" };
    return unpack(state.values);
}

Result<schema::SettingsT> SettingsReader::createFromFile(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return Error { ErrorKind::NotFound, "settings.open", path, "the file cannot be opened" };
    std::ostringstream text;
    text << file.rdbuf();
    return create(text.str());
}

std::string SettingsReader::defaultsText()
{
    std::ostringstream text;
    for (const auto& section : settingsSections()) {
        text << "; " << section.description << "\n[" << section.name << "]\n";
        for (const auto& field : section.fields) {
            text << "; " << field.description();
            if (field.hasAttribute("unit"))
                text << " Unit: " << field.attribute("unit") << ".";
            if (const auto range = field.rangeText(); !range.empty())
                text << " Range: " << range << ".";
            text << "\n" << field.name() << " = " << field.defaultText() << "\n";
        }
        text << "\n";
    }
    return text.str();
}

std::string SettingsReader::referenceText()
{
    std::ostringstream text;
    text << "# Settings\n\nGenerated from `Schema/Settings.fbs` by `cyclamenstaird --print-settings-reference`.\n";
    for (const auto& section : settingsSections()) {
        text << "\n## [" << section.name << "]\n\n"
             << section.description
             << "\n\n| Key | Default | Unit | Range | Reload | Meaning |\n|---|---|---|---|---|---|\n";
        for (const auto& field : section.fields) {
            text << "| `" << field.name() << "` | `" << field.defaultText() << "` | " << field.attribute("unit")
                 << " | " << field.rangeText() << " | " << (field.hasAttribute("reload") ? "yes" : "no") << " | "
                 << field.description() << " |\n";
        }
    }
    return text.str();
}

std::vector<std::string> SettingsReader::changedKeys(const schema::SettingsT& before, const schema::SettingsT& after)
{
    const auto oldValues = toJson(before);
    const auto newValues = toJson(after);
    std::vector<std::string> changed;
    for (const auto& section : settingsSections()) {
        for (const auto& field : section.fields) {
            const auto pointer = nlohmann::json::json_pointer("/" + section.name + "/" + field.name());
            if (oldValues.value(pointer, nlohmann::json()) != newValues.value(pointer, nlohmann::json()))
                changed.push_back(section.name + "." + field.name());
        }
    }
    return changed;
}

schema::SettingsT SettingsReader::withKeysFrom(
    const schema::SettingsT& settings, const schema::SettingsT& source, const std::vector<std::string>& keys)
{
    auto values = toJson(settings);
    const auto sourceValues = toJson(source);
    for (const auto& key : keys) {
        const auto dot = key.find('.');
        const nlohmann::json::json_pointer pointer("/" + key.substr(0, dot) + "/" + key.substr(dot + 1));
        values[pointer] = sourceValues.at(pointer);
    }
    return unpack(values).value();
}

bool SettingsReader::isReloadable(std::string_view sectionAndKey)
{
    const auto dot = sectionAndKey.find('.');
    if (dot == std::string_view::npos)
        return false;
    const auto* section = findSettingsSection(sectionAndKey.substr(0, dot));
    const auto* field = section ? findSettingsField(*section, sectionAndKey.substr(dot + 1)) : nullptr;
    return field && field->hasAttribute("reload");
}

} // namespace cyclamenstair
