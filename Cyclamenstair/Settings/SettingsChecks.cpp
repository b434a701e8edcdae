#include <Cyclamenstair/Settings/SettingsChecks.h>

#include <Cyclamenstair/Settings/SettingsAddress.h>
#include <Cyclamenstair/Settings/SettingsSchema.h>

#include <algorithm>
#include <vector>

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

    /// Address on which a node listens, and its key.
    struct Listener {
        std::string key;
        SettingsAddress address;
        bool isDispensable { false };
    };

    /// Returns the listeners of the mode that the text chooses. Malformed addresses are left out.
    std::vector<Listener> listenersOf(const ParsedSettings& parsed)
    {
        std::vector<Listener> listeners;
        const auto mode = textOf(parsed, "node.mode");
        for (const auto& section : settingsSections()) {
            for (const auto& field : section.fields) {
                if (field.attribute("listener") != mode)
                    continue;
                const auto key = section.name + "." + field.name();
                auto text = textOf(parsed, key);
                if (field.baseType() != reflection::String)
                    text.insert(0, textOf(parsed, section.name + ".address") + ":");
                if (const auto address = parseSettingsAddress(text))
                    listeners.push_back({ key, *address, field.hasAttribute("dispensable") });
            }
        }
        return listeners;
    }

    bool needSamePort(const SettingsAddress& a, const SettingsAddress& b)
    {
        const auto isAnyAddress = [](const std::string& host) { return host == "0.0.0.0" || host == "::"; };
        // The system chooses a free port in place of port 0.
        return a.port == b.port && a.port != 0 && (a.host == b.host || isAnyAddress(a.host) || isAnyAddress(b.host));
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
                missing.append(missing.empty() ? "" : ", ")
                    .append(name)
                    .append(" (required if ")
                    .append(condition)
                    .append(")");
        }
    }
    if (missing.empty())
        return std::nullopt;
    return Error { ErrorKind::InvalidInput, "settings.complete", "", "no value for " + missing };
}

std::optional<Error> findListenerConflict(const ParsedSettings& parsed)
{
    const auto listeners = listenersOf(parsed);
    for (size_t i = 0; i < listeners.size(); ++i) {
        for (size_t j = i + 1; j < listeners.size(); ++j) {
            const auto& other = listeners[j];
            if (needSamePort(listeners[i].address, other.address))
                return Error { ErrorKind::InvalidInput, "settings.listeners", "",
                    listeners[i].key + " and " + other.key + " need the same port "
                        + std::to_string(other.address.port) };
        }
    }
    return std::nullopt;
}

void removeDispensableListeners(ParsedSettings& parsed)
{
    std::vector<Listener> kept;
    for (const auto& listener : listenersOf(parsed)) {
        const auto other = std::find_if(kept.begin(), kept.end(),
            [&](const Listener& candidate) { return needSamePort(candidate.address, listener.address); });
        if (!listener.isDispensable || other == kept.end()) {
            kept.push_back(listener);
            continue;
        }
        const auto dot = listener.key.find('.');
        const auto section = listener.key.substr(0, dot);
        const auto key = listener.key.substr(dot + 1);
        parsed.ignored.push_back({ IgnoredSettingReason::PortInUse, parsed.lines.at(listener.key), section, key, {},
            parsed.texts.at(listener.key), other->key });
        parsed.values[section][key] = findSettingsField(*findSettingsSection(section), key)->defaultText();
        parsed.texts.erase(listener.key);
    }
}

} // namespace cyclamenstair
