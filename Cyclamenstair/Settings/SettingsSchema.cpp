#include <Cyclamenstair/Settings/SettingsSchema.h>

#include <Cyclamenstair/Generated/Settings_bfbs_generated.h>

#include <algorithm>
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

} // namespace cyclamenstair
