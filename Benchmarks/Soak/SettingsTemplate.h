#pragma once

#include <Cyclamenstair/Core/EnumNames.h>
#include <Cyclamenstair/Core/Result.h>

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace cyclamenstair {

/// Forms in which a platform may write the numbers of the settings.
enum class NumberForm : uint8_t {
    Typed, ///< By type: 54.0 for a fraction, 54 for an integer.
    Whole, ///< 54 if the value is whole.
    Decimal, ///< 54.0, also for integers.
    Exponent, ///< 5.4e+01.
};

template <> struct EnumNames<NumberForm> {
    static constexpr auto table = std::to_array<EnumName<NumberForm>>({
        { NumberForm::Typed, "typed" },
        { NumberForm::Whole, "whole" },
        { NumberForm::Decimal, "decimal" },
        { NumberForm::Exponent, "exponent" },
    });
};

/// Fills in a template as the platform does:
///
/// - `{{a}}`, `{{a.b}}` and `{{a.0}}` give a value: lists joined by commas, tables as JSON, nothing if there is no
/// value.
/// - `{{#a}} .. {{/a}}` is rendered for each entry of a list or table, or once if there is a value other than false.
///   Inside, names are looked up in the entry first, `{{.}}` is the entry, `{{@}}` its key or index, and `{{,}}` a
///   comma except after the last entry.
/// - `{{^a}} .. {{/a}}` is rendered if there is no value or it is false.
///
/// Returns an error if a placeholder or section is not closed, or ends another one.
Result<std::string> renderTemplate(std::string_view text, const nlohmann::json& fields, NumberForm form);

} // namespace cyclamenstair
