#pragma once

#include <Cyclamenstair/Core/Time.h>
#include <Cyclamenstair/Store/StoreTypes.h>

#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace cyclamenstair {

/// Returns whether a record is used. May replace its value by a shorter one of the same meaning.
using StoreRecordFilter = std::function<bool(StoreRecord&)>;

/// Settings of a StoreListing.
struct StoreListingSettings {
    Duration retryDelay { milliseconds(100) }; ///< Before a failed page is requested again; doubles each time.
    int maxAttempts { 5 }; ///< At one page.
    /// Time after which a page whose outcome is missing is requested again. Longer than a client's timeout of one call.
    Duration maxPageDelay { milliseconds(3000) };
};

/// Reads all records below a prefix, page by page, and keeps those that a filter accepts. Writers that the node does
/// not know decide how many pages there are and what they hold, so that neither the memory of a read nor its number of
/// calls may depend on their records alone: a page is filtered as it comes, and one that does not advance ends the
/// read. Belongs to one event loop.
class StoreListing {
public:
    /// Requests the page that begins after the key `afterKey`, or the first one if it is empty.
    using PageReader = std::function<void(const std::string& afterKey, std::function<void(StorePageOutcome)> handler)>;
    using Handler = std::function<void(StoreReadOutcome)>;

    StoreListing(boost::asio::io_context& context, std::string prefix, PageReader readPage, StoreRecordFilter filter,
        const StoreListingSettings& settings = {});

    /// Reads all records. A read in progress ends without an outcome. The first page is requested once; later ones are
    /// requested again after a failure, so that a store that refuses single calls does not make long reads begin anew.
    void read(Handler handler);

    /// Ends a read in progress without an outcome.
    void cancel();

private:
    void requestPage();
    void onPage(StorePage page);
    void onFailure(const std::string& message);
    /// Returns why the read cannot go on after the page, or an empty text.
    std::string findFault(const StorePage& page) const;
    void finish(StoreReadOutcome outcome);
    void scheduleRequest(Duration delay);

    std::string m_prefix;
    PageReader m_readPage;
    StoreRecordFilter m_filter;
    StoreListingSettings m_settings;
    boost::asio::steady_timer m_timer;
    Handler m_handler; ///< Empty while no read is in progress.
    uint64_t m_request { 0 }; ///< Outcomes of earlier requests are ignored.
    uint64_t m_timerId { 0 }; ///< An earlier wait of m_timer may complete after it was cancelled.
    std::string m_afterKey; ///< Last key of the pages so far.
    StoreRange m_range; ///< Records of the pages so far, and the revision of the first one.
    int m_attempts { 0 }; ///< At the current page.
    size_t m_pages { 0 };
    size_t m_unusedRecords { 0 };
    TimePoint m_startedAt;
};

} // namespace cyclamenstair
