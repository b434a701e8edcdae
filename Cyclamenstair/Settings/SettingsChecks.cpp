#include <Cyclamenstair/Settings/SettingsChecks.h>

#include <Cyclamenstair/Settings/SettingsSchema.h>

namespace cyclamenstair {

namespace {

    /// Returns the value of "section.key" in the notation of INI files, or its default if the text gives none.
    std::string textOf(const ParsedSettings& parsed, const std::string& sectionAndKey)
    {
        if (const auto given = parsed.texts.find(sectionAndKey); given != parsed.texts.end())
            return given->second;
        const auto dot = sectionAndKey.find('.');
        const auto* section = findSettingsSection(sectionAndKey.substr(0, dot));
        const auto* field = section ? findSettingsField(*section, sectionAndKey.substr(dot + 1)) : nullptr;
        return field ? field->defaultText() : std::string();
    }

    /// Returns whether a condition "section.key=value" holds.
    bool holds(const ParsedSettings& parsed, const std::string& condition)
    {
        const auto equals = condition.find('=');
        return textOf(parsed, condition.substr(0, equals)) == condition.substr(equals + 1);
    }

} // namespace

std::optional<Error> findMissingSettings(const ParsedSettings& parsed)
{
    std::string missing;
    for (const auto& section : settingsSections()) {
        for (const auto& field : section.fields) {
            const auto condition = field.attribute("required_if");
            const auto name = section.name + "." + field.name();
            if (!condition.empty() && holds(parsed, condition) && !parsed.texts.contains(name))
                missing.append(missing.empty() ? "" : ", ").append(name + " (required if " + condition + ")");
        }
    }
    if (missing.empty())
        return std::nullopt;
    return Error { ErrorKind::InvalidInput, "settings.complete", "", "no value for " + missing };
}

} // namespace cyclamenstair
