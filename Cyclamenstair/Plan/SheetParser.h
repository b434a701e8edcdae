#pragma once

#include <Cyclamenstair/Core/Error.h>
#include <Cyclamenstair/Plan/Plan.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenstair {

/// Kind of a row in a plan sheet.
enum class SheetRowKind : uint8_t {
    Model,
    Adapter,
    Service,
    Caller,
};

template <> struct EnumNames<SheetRowKind> {
    static constexpr auto table = std::to_array<EnumName<SheetRowKind>>({
        { SheetRowKind::Model, "model" },
        { SheetRowKind::Adapter, "adapter" },
        { SheetRowKind::Service, "service" },
        { SheetRowKind::Caller, "caller" },
    });
};

/// Error or warning about a plan or its sheet.
struct SheetFinding {
    uint32_t line { 0 }; ///< Line of the sheet, from 1; 0 if the finding concerns the plan as a whole.
    std::string message;
};

/// Line of each row of a sheet, by kind and name.
using SheetLines = std::map<std::pair<SheetRowKind, std::string>, uint32_t>;

/// Result of parsing a sheet. `plan` has a value only if there are no errors.
struct SheetParseResult {
    std::optional<Plan> plan;
    std::vector<SheetFinding> errors;
    SheetLines lines;
};

/// Parses a plan sheet: CSV with the header
/// `kind,name,model,memory_mib,replicas,priority,window_ms,repeatable,rate_per_s,burst,token_hash,allowed`.
/// Fields that do not apply to a kind are empty. The names in `allowed` are separated by '|'.
class SheetParser {
public:
    static constexpr size_t maxSheetBytes = 16 << 20;
    static constexpr size_t maxErrors = 100;

    /// Returns the plan (revision 0, rows sorted by name), or its errors with their lines, at most maxErrors. Never
    /// throws on malformed input.
    static SheetParseResult parse(std::string_view text);

    /// Returns the plan as a sheet from which parse() gives the same rows. Contains only the hashes of tokens.
    static std::string write(const Plan& plan);
};

} // namespace cyclamenstair
