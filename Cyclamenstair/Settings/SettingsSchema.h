#pragma once

#include <flatbuffers/reflection.h>

#include <string>
#include <string_view>
#include <vector>

namespace cyclamenstair {

/// View of one key of the settings schema.
class SettingsField {
public:
    explicit SettingsField(const reflection::Field& field)
        : m_field(&field)
    {
    }

    std::string name() const { return m_field->name()->str(); }
    uint16_t id() const { return m_field->id(); }
    reflection::BaseType baseType() const { return m_field->type()->base_type(); }

    /// Returns the enumeration of the field, or null if its type is not an enumeration.
    const reflection::Enum* enumeration() const;

    /// Returns the attribute called `name`, or an empty string if the field has none.
    std::string attribute(const char* name) const;
    bool hasAttribute(const char* name) const;

    /// Returns the default in the notation of INI files.
    std::string defaultText() const;

    /// Returns the doc comment of the field.
    std::string description() const;

    /// Returns "MIN to MAX", the names of the enumerators, or an empty string if there is no range.
    std::string rangeText() const;

private:
    const reflection::Field* m_field;
};

/// View of one section of the settings schema.
struct SettingsSection {
    std::string name;
    std::string description;
    std::vector<SettingsField> fields; ///< In the order of the schema.
};

/// Returns the sections of the settings schema, in the order of the schema.
const std::vector<SettingsSection>& settingsSections();

/// Returns the binary schema of the settings.
const reflection::Schema& settingsBinarySchema();

/// Returns the section called `name`, or null.
const SettingsSection* findSettingsSection(std::string_view name);

/// Returns the field called `name` in `section`, or null.
const SettingsField* findSettingsField(const SettingsSection& section, std::string_view name);

/// Returns the name of the section that `name` is probably a slip of, or an empty string.
std::string similarSettingsSection(std::string_view name);

/// Returns the name of the field of `section` that `name` is probably a slip of, or an empty string.
std::string similarSettingsField(const SettingsSection& section, std::string_view name);

} // namespace cyclamenstair
