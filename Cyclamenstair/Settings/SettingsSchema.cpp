#include <Cyclamenstair/Settings/SettingsSchema.h>

#include <Cyclamenstair/Generated/Settings_bfbs_generated.h>

#include <algorithm>
#include <numeric>
#include <sstream>

namespace cyclamenstair {

namespace {

    std::string joinedDocumentation(const flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>* lines)
    {
        std::string text;
        if (!lines)
            return text;
        for (const auto* line : *lines) {
            std::string trimmed = line->str();
            trimmed.erase(0, trimmed.find_first_not_of(' '));
            text += (text.empty() ? "" : " ") + trimmed;
        }
        return text;
    }

    std::vector<SettingsField> fieldsInOrder(const reflection::Object& object)
    {
        std::vector<SettingsField> fields;
        for (const auto* field : *object.fields())
            fields.emplace_back(*field);
        // The binary schema sorts fields by name; field ids follow the order of the source.
        std::sort(fields.begin(), fields.end(), [](const auto& a, const auto& b) { return a.id() < b.id(); });
        return fields;
    }

    std::vector<SettingsSection> readSections()
    {
        const auto& schema = settingsBinarySchema();
        std::vector<const reflection::Field*> roots(
            schema.root_table()->fields()->begin(), schema.root_table()->fields()->end());
        std::sort(roots.begin(), roots.end(), [](const auto* a, const auto* b) { return a->id() < b->id(); });
        std::vector<SettingsSection> sections;
        for (const auto* root : roots) {
            const auto* object = schema.objects()->Get(static_cast<flatbuffers::uoffset_t>(root->type()->index()));
            sections.push_back(
                { root->name()->str(), joinedDocumentation(object->documentation()), fieldsInOrder(*object) });
        }
        return sections;
    }

    std::string numberText(double value)
    {
        std::ostringstream stream;
        stream << value;
        return stream.str();
    }

    /// Returns the number of characters to insert, delete or replace that turns `a` into `b`.
    size_t editDistance(std::string_view a, std::string_view b)
    {
        std::vector<size_t> row(b.size() + 1);
        std::iota(row.begin(), row.end(), size_t { 0 });
        for (const char letter : a) {
            size_t diagonal = row[0]++;
            for (size_t j = 0; j < b.size(); ++j) {
                const size_t above = row[j + 1];
                row[j + 1] = std::min({ above + 1, row[j] + 1, diagonal + (letter == b[j] ? 0 : 1) });
                diagonal = above;
            }
        }
        return row.back();
    }

    /// Returns the nearest of `names` that is near enough for `name` to be a slip, or an empty string.
    std::string nearestName(const std::vector<std::string>& names, std::string_view name)
    {
        // Two swapped letters are two edits. Names that differ in more than half of their letters are different words.
        constexpr size_t maxEdits = 2;
        std::string nearest;
        size_t nearestDistance = std::min(maxEdits, name.size() / 2) + 1;
        for (const auto& candidate : names) {
            const auto distance = editDistance(name, candidate);
            if (distance < nearestDistance) {
                nearestDistance = distance;
                nearest = candidate;
            }
        }
        return nearest;
    }

} // namespace

const reflection::Schema& settingsBinarySchema()
{
    return *reflection::GetSchema(schema::SettingsBinarySchema::data());
}

const reflection::Enum* SettingsField::enumeration() const
{
    const auto index = m_field->type()->index();
    if (index < 0 || baseType() == reflection::Obj)
        return nullptr;
    return settingsBinarySchema().enums()->Get(static_cast<flatbuffers::uoffset_t>(index));
}

bool SettingsField::hasAttribute(const char* name) const
{
    return m_field->attributes() && m_field->attributes()->LookupByKey(name);
}

std::string SettingsField::attribute(const char* name) const
{
    if (!hasAttribute(name))
        return {};
    const auto* value = m_field->attributes()->LookupByKey(name)->value();
    return value ? value->str() : std::string();
}

std::string SettingsField::defaultText() const
{
    if (const auto* enumType = enumeration())
        return enumType->values()->LookupByKey(m_field->default_integer())->name()->str();
    switch (baseType()) {
    case reflection::String:
        return attribute("text_default");
    case reflection::Bool:
        return m_field->default_integer() ? "true" : "false";
    case reflection::Float:
    case reflection::Double:
        return numberText(m_field->default_real());
    default:
        return std::to_string(m_field->default_integer());
    }
}

std::string SettingsField::description() const { return joinedDocumentation(m_field->documentation()); }

std::string SettingsField::rangeText() const
{
    if (const auto* enumType = enumeration()) {
        std::string names;
        for (const auto* value : *enumType->values())
            names += (names.empty() ? "" : ", ") + value->name()->str();
        return names;
    }
    if (!hasAttribute("min"))
        return {};
    return attribute("min") + " to " + attribute("max");
}

const std::vector<SettingsSection>& settingsSections()
{
    static const std::vector<SettingsSection> s_sections = readSections();
    return s_sections;
}

const SettingsSection* findSettingsSection(std::string_view name)
{
    for (const auto& section : settingsSections()) {
        if (section.name == name)
            return &section;
    }
    return nullptr;
}

const SettingsField* findSettingsField(const SettingsSection& section, std::string_view name)
{
    for (const auto& field : section.fields) {
        if (field.name() == name)
            return &field;
    }
    return nullptr;
}

std::string similarSettingsSection(std::string_view name)
{
    std::vector<std::string> names;
    for (const auto& section : settingsSections())
        names.push_back(section.name);
    return nearestName(names, name);
}

std::string similarSettingsField(const SettingsSection& section, std::string_view name)
{
    std::vector<std::string> names;
    for (const auto& field : section.fields)
        names.push_back(field.name());
    return nearestName(names, name);
}

} // namespace cyclamenstair
