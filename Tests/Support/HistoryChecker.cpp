#include <Tests/Support/HistoryChecker.h>

#include <sstream>

namespace cyclamenstair::testing {

namespace {

    constexpr size_t shownBytes = 60;

    /// One pass over a history.
    class HistoryPass {
    public:
        HistoryPass(const std::vector<CallRecord>& records, const TargetLogs& logs)
            : m_records(&records)
            , m_logs(&logs)
        {
        }

        std::vector<HistoryFinding> run(uint64_t calls)
        {
            std::vector<bool> isRecorded(calls, false);
            for (const auto& record : *m_records) {
                if (record.call >= calls || isRecorded[record.call])
                    add(HistoryFault::Doubled, record, "the call was answered more than once");
                else
                    isRecorded[record.call] = true;
                checkEnd(record);
                checkRuns(record);
            }
            for (uint64_t call = 0; call < calls; ++call) {
                if (!isRecorded[call])
                    m_findings.push_back({ HistoryFault::Lost, call, "the call was never answered" });
            }
            return std::move(m_findings);
        }

    private:
        void add(HistoryFault fault, const CallRecord& record, const std::string& detail)
        {
            m_findings.push_back({ fault, record.call, "request " + record.requestId + ": " + detail });
        }

        void checkEnd(const CallRecord& record)
        {
            switch (record.end) {
            case CallEnd::Complete:
                checkAnswer(record);
                break;
            case CallEnd::Broken:
                if (!record.mayBreak)
                    add(HistoryFault::Lost, record,
                        "broken although the node lived: " + record.answer.substr(0, shownBytes));
                break;
            case CallEnd::Unknown:
                // Work that may be repeated is repeated until it is answered (design page, 6.2).
                if (record.key.empty())
                    add(HistoryFault::Lost, record, "work that may be repeated was answered as unknown");
                break;
            case CallEnd::NotRun:
                if (m_logs->requestIds.contains(record.requestId))
                    add(HistoryFault::FalselyNotRun, record, "the request is in a target's log");
                else if (!record.key.empty() && m_logs->runsByKey.contains(record.key))
                    add(HistoryFault::FalselyNotRun, record, "the key is in a target's log");
                break;
            case CallEnd::NotSent:
                break;
            }
        }

        void checkAnswer(const CallRecord& record)
        {
            if (record.answer == record.expected)
                return;
            const auto detail = "got '" + record.answer.substr(0, shownBytes) + "' ("
                + std::to_string(record.answer.size()) + " bytes), expected '" + record.expected.substr(0, shownBytes)
                + "' (" + std::to_string(record.expected.size()) + " bytes)";
            if (record.expected.starts_with(record.answer))
                add(HistoryFault::Lost, record, detail);
            else if (record.answer.size() > record.expected.size() && holdsOnlyPartsOf(record))
                add(HistoryFault::Doubled, record, detail);
            else
                add(HistoryFault::MixedUp, record, detail);
        }

        /// Returns whether the answer is the expected text with parts of it repeated, as after a resumed stream that
        /// starts again too early.
        static bool holdsOnlyPartsOf(const CallRecord& record)
        {
            std::istringstream words(record.answer);
            for (std::string word; words >> word;) {
                if (record.expected.find(word) == std::string::npos)
                    return false;
            }
            return true;
        }

        void checkRuns(const CallRecord& record)
        {
            if (record.key.empty())
                return;
            const auto runs = m_logs->runsByKey.find(record.key);
            const int count = runs == m_logs->runsByKey.end() ? 0 : runs->second;
            if (count > 1)
                add(HistoryFault::Doubled, record, "key " + record.key + " ran " + std::to_string(count) + " times");
            if (count == 0 && record.end == CallEnd::Complete)
                add(HistoryFault::Lost, record, "answered as complete, but no target ran key " + record.key);
        }

        const std::vector<CallRecord>* m_records;
        const TargetLogs* m_logs;
        std::vector<HistoryFinding> m_findings;
    };

} // namespace

std::vector<HistoryFinding> checkHistory(const std::vector<CallRecord>& records, const TargetLogs& logs, uint64_t calls)
{
    return HistoryPass(records, logs).run(calls);
}

std::string describe(const std::vector<HistoryFinding>& findings, size_t limit)
{
    std::ostringstream text;
    for (size_t i = 0; i < findings.size() && i < limit; ++i)
        text << nameOf(findings[i].fault) << ", call " << findings[i].call << ", " << findings[i].detail << "\n";
    if (findings.size() > limit)
        text << "and " << findings.size() - limit << " more\n";
    return text.str();
}

} // namespace cyclamenstair::testing
