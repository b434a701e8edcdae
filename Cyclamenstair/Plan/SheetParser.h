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

/// Finding in a plan sheet or plan.
struct SheetFinding {
    uint32_t line { 0 }; ///< Line of the sheet, from 1; 0 if the finding concerns the plan as a whole.
    std::string message;
};

/// Lines of the rows of a sheet, by kind and name.
using SheetLines = std::map<std::pair<SheetRowKind, std::string>, uint32_t>;

/// Plan and findings of a sheet. The plan is present if there are no errors.
struct SheetResult {
    std::optional<Plan> plan;
    std::vector<SheetFinding> errors;
    SheetLines lines;
};

/// Parses a plan sheet: CSV with the header
/// `kind,name,model,memory_mib,replicas,priority,window_ms,repeatable,rate_per_s,burst,token_hash,allowed`.
/// Fields that do not apply to a kind stay empty. `allowed` separates names by '|'.
class SheetParser {
public:
    static constexpr size_t maxSheetBytes = 16 << 20;
    static constexpr size_t maxErrors = 100;

    /// Returns the plan (revision 0, rows sorted by name) or all errors by line. Never throws on bad input.
    static SheetResult parse(std::string_view text);

    /// Returns the plan as a sheet that parse() reads back to the same rows. Tokens appear as their hashes only.
    static std::string write(const Plan& plan);
};

} // namespace cyclamenstair
