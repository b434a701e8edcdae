#include <Cyclamenstair/Plan/SheetParser.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <map>
#include <set>
#include <sstream>

// The reader thread of csv.h has no benefit for a sheet that is already in memory.
#define CSV_IO_NO_THREAD
#include <libfccp/csv.h>

namespace cyclamenstair {

namespace {

    constexpr uint64_t bytesPerMib = 1 << 20;
    constexpr size_t maxNameBytes = 128;

    using CsvReader = io::CSVReader<12, io::trim_chars<' ', '\t', '\r'>, io::double_quote_escape<',', '"'>>;

    /// Unparsed fields of one row.
    struct SheetRow {
        std::string kind;
        std::string name;
        std::string model;
        std::string memoryMib;
        std::string replicas;
        std::string priority;
        std::string windowMs;
        std::string repeatable;
        std::string ratePerSecond;
        std::string burst;
        std::string tokenHash;
        std::string allowed;
    };

    /// Builds the plan from the rows of a sheet and collects the errors.
    class SheetPlanBuilder {
    public:
        void addRow(uint32_t line, const SheetRow& row)
        {
            m_line = line;
            const auto kind = enumFromName<SheetRowKind>(row.kind);
            if (!kind) {
                addError("kind '" + row.kind + "' is not model, adapter, service or caller");
                return;
            }
            if (!isValidName(row.name)) {
                addError("name '" + row.name + "' must have 1 to 128 characters from A-Z a-z 0-9 . _ -");
                return;
            }
            // Models and adapters share one namespace, because the model of a request can be either.
            const auto namespaceKind = *kind == SheetRowKind::Adapter ? SheetRowKind::Model : *kind;
            m_result.lines[{ *kind, row.name }] = line;
            const auto [previous, isNew] = m_lines.emplace(std::make_pair(namespaceKind, row.name), line);
            if (!isNew)
                addError("'" + row.name + "' is already defined on line " + std::to_string(previous->second));
            switch (*kind) {
            case SheetRowKind::Model:
                addModel(row);
                break;
            case SheetRowKind::Adapter:
                addAdapter(row);
                break;
            case SheetRowKind::Service:
                addService(row);
                break;
            case SheetRowKind::Caller:
                addCaller(row);
                break;
            }
        }

        void addError(std::string message) { addError(m_line, std::move(message)); }

        void addError(uint32_t line, std::string message)
        {
            if (m_result.errors.size() < SheetParser::maxErrors)
                m_result.errors.push_back({ line, std::move(message) });
        }

        SheetParseResult finish()
        {
            checkReferences();
            m_plan.sortRows();
            if (m_result.errors.empty())
                m_result.plan = std::move(m_plan);
            return std::move(m_result);
        }

    private:
        static bool isValidName(std::string_view name)
        {
            const auto isNameCharacter
                = [](unsigned char c) { return std::isalnum(c) || c == '.' || c == '_' || c == '-'; };
            return !name.empty() && name.size() <= maxNameBytes
                && std::all_of(name.begin(), name.end(), isNameCharacter);
        }

        template <typename Number>
        Number parseNumber(const std::string& text, const char* column, Number defaultValue, Number min, Number max)
        {
            if (text.empty())
                return defaultValue;
            Number number {};
            const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), number);
            if (code == std::errc() && end == text.data() + text.size() && number >= min && number <= max)
                return number;
            std::ostringstream message;
            message << column << " '" << text << "' is not a number from " << min << " to " << max;
            addError(message.str());
            return defaultValue;
        }

        uint64_t parseMemory(const SheetRow& row)
        {
            if (row.memoryMib.empty())
                addError("memory_mib is missing");
            return parseNumber<uint64_t>(row.memoryMib, "memory_mib", 1, 1, 16ULL << 20) * bytesPerMib;
        }

        Priority parsePriority(const SheetRow& row)
        {
            if (row.priority.empty())
                return Priority::Normal;
            const auto priority = enumFromName<Priority>(row.priority);
            if (!priority)
                addError("priority '" + row.priority + "' is not low, normal or high");
            return priority.value_or(Priority::Normal);
        }

        Duration parseWindow(const SheetRow& row)
        {
            return milliseconds(parseNumber<int64_t>(row.windowMs, "window_ms", 0, 1, 3600000));
        }

        uint32_t parseReplicas(const SheetRow& row)
        {
            return parseNumber<uint32_t>(row.replicas, "replicas", 1, 1, 1000);
        }

        void addModel(const SheetRow& row)
        {
            m_plan.models.push_back(
                { row.name, parseMemory(row), parseReplicas(row), parsePriority(row), parseWindow(row) });
        }

        void addAdapter(const SheetRow& row)
        {
            m_adapterLines[row.name] = m_line;
            m_plan.adapters.push_back(
                { row.name, row.model, parseMemory(row), parseReplicas(row), parsePriority(row), parseWindow(row) });
        }

        void addService(const SheetRow& row)
        {
            if (!row.repeatable.empty() && row.repeatable != "yes" && row.repeatable != "no")
                addError("repeatable '" + row.repeatable + "' is not yes or no");
            m_plan.services.push_back({ row.name, parsePriority(row), parseWindow(row), row.repeatable == "yes" });
        }

        void addCaller(const SheetRow& row)
        {
            CallerSpec caller;
            caller.name = row.name;
            caller.tokenHash = row.tokenHash;
            caller.priority = parsePriority(row);
            caller.window = parseWindow(row);
            caller.requestsPerSecond = parseNumber<double>(row.ratePerSecond, "rate_per_s", 0.0, 0.0, 1e6);
            caller.burst = parseNumber<uint32_t>(row.burst, "burst", 0, 0, 1000000);
            std::istringstream names(row.allowed);
            for (std::string name; std::getline(names, name, '|');) {
                if (!name.empty())
                    caller.allowed.push_back(name);
            }
            if (row.tokenHash.empty())
                addError("token_hash is missing");
            m_callerLines[row.name] = m_line;
            m_plan.callers.push_back(std::move(caller));
        }

        /// Checks the names that refer to other rows; called after the last row.
        void checkReferences()
        {
            std::set<std::string> servableNames;
            for (const auto& model : m_plan.models)
                servableNames.insert(model.name);
            for (const auto& adapter : m_plan.adapters) {
                if (!m_lines.contains({ SheetRowKind::Model, adapter.model }) || m_adapterLines.contains(adapter.model))
                    addError(m_adapterLines[adapter.name],
                        "model '" + adapter.model + "' of adapter '" + adapter.name + "' is not in the sheet");
            }
            for (const auto& adapter : m_plan.adapters)
                servableNames.insert(adapter.name);
            for (const auto& service : m_plan.services)
                servableNames.insert(service.name);
            for (const auto& caller : m_plan.callers) {
                for (const auto& name : caller.allowed) {
                    if (!servableNames.contains(name))
                        addError(m_callerLines[caller.name],
                            "allowed name '" + name + "' of caller '" + caller.name + "' is not in the sheet");
                }
            }
            if (servableNames.empty())
                addError(0, "the sheet has no model, adapter or service");
        }

        uint32_t m_line { 0 };
        Plan m_plan;
        SheetParseResult m_result;
        std::map<std::pair<SheetRowKind, std::string>, uint32_t> m_lines;
        std::map<std::string, uint32_t> m_adapterLines;
        std::map<std::string, uint32_t> m_callerLines;
    };

    void readRows(SheetPlanBuilder& builder, std::string_view text)
    {
        CsvReader reader("sheet", text.data(), text.data() + text.size());
        try {
            reader.read_header(io::ignore_no_column, "kind", "name", "model", "memory_mib", "replicas", "priority",
                "window_ms", "repeatable", "rate_per_s", "burst", "token_hash", "allowed");
        } catch (const io::error::base& error) {
            builder.addError(1, error.what());
            return;
        }
        for (;;) {
            SheetRow row;
            try {
                if (!reader.read_row(row.kind, row.name, row.model, row.memoryMib, row.replicas, row.priority,
                        row.windowMs, row.repeatable, row.ratePerSecond, row.burst, row.tokenHash, row.allowed))
                    return;
                builder.addRow(reader.get_file_line(), row);
            } catch (const io::error::base& error) {
                builder.addError(reader.get_file_line(), error.what());
                // After an overlong line the reader is in the middle of that line and would only report consequential
                // errors.
                if (dynamic_cast<const io::error::line_length_limit_exceeded*>(&error))
                    return;
            }
        }
    }

    std::string memoryText(uint64_t bytes) { return std::to_string(bytes / bytesPerMib); }

    std::string windowText(Duration window)
    {
        return window > Duration(0) ? std::to_string(toMilliseconds(window)) : "";
    }

    std::string joinNames(const std::vector<std::string>& names)
    {
        std::string text;
        for (const auto& name : names)
            text += (text.empty() ? "" : "|") + name;
        return text;
    }

    std::string quoteField(const std::string& text)
    {
        std::string quoted = "\"";
        for (const char c : text)
            quoted += c == '"' ? std::string("\"\"") : std::string(1, c);
        return quoted + "\"";
    }

    /// Returns the shortest text that parses to the same number.
    std::string rateText(double rate)
    {
        if (rate == 0)
            return "";
        std::array<char, 32> text {};
        const auto result = std::to_chars(text.data(), text.data() + text.size(), rate);
        return { text.data(), result.ptr };
    }

} // namespace

std::string SheetParser::write(const Plan& plan)
{
    std::ostringstream sheet;
    sheet << "kind,name,model,memory_mib,replicas,priority,window_ms,repeatable,rate_per_s,burst,token_hash,allowed\n";
    for (const auto& model : plan.models)
        sheet << "model," << model.name << ",," << memoryText(model.memoryBytes) << ',' << model.replicas << ','
              << nameOf(model.priority) << ',' << windowText(model.window) << ",,,,,\n";
    for (const auto& adapter : plan.adapters)
        sheet << "adapter," << adapter.name << ',' << adapter.model << ',' << memoryText(adapter.memoryBytes) << ','
              << adapter.replicas << ',' << nameOf(adapter.priority) << ',' << windowText(adapter.window) << ",,,,,\n";
    for (const auto& service : plan.services)
        sheet << "service," << service.name << ",,,," << nameOf(service.priority) << ',' << windowText(service.window)
              << ',' << (service.repeatable ? "yes" : "no") << ",,,,\n";
    for (const auto& caller : plan.callers)
        sheet << "caller," << caller.name << ",,,," << nameOf(caller.priority) << ',' << windowText(caller.window)
              << ",," << rateText(caller.requestsPerSecond) << ',' << caller.burst << ','
              << quoteField(caller.tokenHash) << ',' << joinNames(caller.allowed) << '\n';
    return sheet.str();
}

SheetParseResult SheetParser::parse(std::string_view text)
{
    SheetPlanBuilder builder;
    if (text.size() > maxSheetBytes || text.find('\0') != std::string_view::npos) {
        builder.addError(0, "the sheet is larger than 16 MiB or contains a NUL byte");
        return builder.finish();
    }
    readRows(builder, text);
    return builder.finish();
}

} // namespace cyclamenstair
