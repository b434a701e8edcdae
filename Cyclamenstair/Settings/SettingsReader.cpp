#include <Cyclamenstair/Settings/SettingsReader.h>

#include <Cyclamenstair/Settings/SettingsChecks.h>
#include <Cyclamenstair/Settings/SettingsParser.h>
#include <Cyclamenstair/Settings/SettingsSchema.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>

#include <flatbuffers/idl.h>
#include <flatbuffers/minireflect.h>
#include <nlohmann/json.hpp>

#include <Cyclamenstair/Generated/Settings_bfbs_generated.h>

namespace cyclamenstair {

namespace {

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

    /// Returns the first error that concerns several keys.
    std::optional<Error> checkAsWhole(const ParsedSettings& parsed)
    {
        const auto error = findMissingSettings(parsed);
        return error ? error : findListenerConflict(parsed);
    }

    Result<std::string> readFile(const std::string& path)
    {
        std::error_code ec;
        // Opening a pipe waits for its writer, and no signal would be handled meanwhile.
        if (std::filesystem::exists(path, ec) && !std::filesystem::is_regular_file(path, ec))
            return Error { ErrorKind::NotFound, "settings.open", path, "not a regular file" };
        std::ifstream file(path);
        if (!file)
            return Error { ErrorKind::NotFound, "settings.open", path, "the file cannot be opened" };
        std::ostringstream text;
        text << file.rdbuf();
        if (text.str().empty())
            return Error { ErrorKind::NotFound, "settings.open", path, "the file is empty or cannot be read" };
        return text.str();
    }

} // namespace

Result<schema::SettingsT> SettingsReader::create(std::string_view iniText)
{
    const auto parsed = parseSettings(iniText, SettingsStrictness::Strict);
    if (!parsed)
        return parsed.error();
    return unpack(parsed.value().values);
}

Result<TolerantSettings> SettingsReader::createTolerant(std::string_view iniText)
{
    auto parsed = parseSettings(iniText, SettingsStrictness::Tolerant);
    if (!parsed)
        return parsed.error();
    removeDispensableListeners(parsed.value());
    if (const auto error = checkAsWhole(parsed.value()))
        return *error;
    auto settings = unpack(parsed.value().values);
    if (!settings)
        return settings.error();
    return TolerantSettings { std::move(settings).value(), std::move(parsed.value().ignored),
        std::move(parsed.value().adjusted) };
}

std::optional<Error> SettingsReader::check(std::string_view iniText)
{
    const auto parsed = parseSettings(iniText, SettingsStrictness::Strict);
    if (!parsed)
        return parsed.error();
    return checkAsWhole(parsed.value());
}

Result<TolerantSettings> SettingsReader::createTolerantFromFile(const std::string& path)
{
    const auto text = readFile(path);
    return text ? createTolerant(text.value()) : text.error();
}

std::optional<Error> SettingsReader::checkFile(const std::string& path)
{
    const auto text = readFile(path);
    return text ? check(text.value()) : text.error();
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
    text << "# Settings\n\nGenerated from `Schema/Settings.fbs` by `cyclamenstaird --print-settings-reference`.\n"
            "\nNumbers may be written in any decimal notation (`54`, `+54`, `54.0`, `5.4e+01`), and any value in "
            "quotes. "
            "A start\nlimits a number to its range and rounds one that is not whole: down, or up where the range says "
            "so. It ignores other\nvalues that a key cannot take, except for keys marked \"exact\". `OPERATIONS.md`, "
            "\"Settings\", has the rules.\n";
    for (const auto& section : settingsSections()) {
        text << "\n## [" << section.name << "]\n\n"
             << section.description
             << "\n\n| Key | Default | Unit | Range | Reload | Meaning |\n|---|---|---|---|---|---|\n";
        for (const auto& field : section.fields) {
            text << "| `" << field.name() << "` | `" << field.defaultText() << "` | " << field.attribute("unit")
                 << " | " << field.rangeText() << (field.hasAttribute("round_up") ? "; rounded up" : "")
                 << (field.hasAttribute("exact") ? "; exact" : "") << " | "
                 << (field.hasAttribute("reload") ? "yes" : "no") << " | " << field.description();
            if (field.hasAttribute("required_if"))
                text << " Required if `" << field.attribute("required_if") << "`.";
            text << " |\n";
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
