#pragma once

#include <Cyclamenstair/Core/Error.h>
#include <Cyclamenstair/Settings/SettingsParser.h>

#include <optional>

namespace cyclamenstair {

/// Returns an error that names the keys without a value that the text requires by the schema's attribute `required_if`.
/// Without the check, a file that was cut off between two lines would start a node on the defaults.
std::optional<Error> findMissingSettings(const ParsedSettings& parsed);

/// Returns an error that names two keys whose listeners need the same port of the same address. The second one could
/// never listen.
std::optional<Error> findListenerConflict(const ParsedSettings& parsed);

/// Removes the addresses of dispensable listeners (attribute `dispensable`) that need the port of a listener before
/// them in the schema, and records them as ignored. The order of the schema is that of importance.
void removeDispensableListeners(ParsedSettings& parsed);

} // namespace cyclamenstair
