#ifndef BILBERRYLEAD_DAEMON_LISTING_MEMORY_HPP
#define BILBERRYLEAD_DAEMON_LISTING_MEMORY_HPP

#include "bilberrylead/core/bytes.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/discovery/list_changes.hpp"

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/thread_pool.hpp>

#include <filesystem>
#include <optional>

namespace bilberrylead::daemon
{

/// Remembers the listing of upstreams in the data folder.
///
/// Load it answers: all hosts lose power at once. Without it entry hosts
/// refuse every request until a leader is elected and has read the whole
/// list again, two seconds for a list of 16 pages; with it they go on with
/// the upstreams of a second before. What has changed since is told by the
/// upstreams themselves, and by the first new reading.
///
/// Nothing depends on the file: one that is missing, torn or of another
/// version is as good as none. It is written by a thread of its own, so that
/// a slow disk holds nothing up. Used by one thread otherwise.
class listing_memory
{
public:
    /// Remembers in `folder`; `context` must outlive it.
    listing_memory(boost::asio::io_context& context,
                   std::filesystem::path const& folder);

    /// The listing as it was remembered; nothing if there is none.
    std::optional<discovery::list_changes> recall() const;

    /// The listing changed: it is to be remembered.
    void note_change()
    {
        this->is_due = true;
    }

    /// True if a change is to be remembered now.
    bool wants_listing(instant now) const;

    /// Remembers a whole listing.
    void remember(discovery::list_changes const& whole, instant now);

private:
    void note_written(absl::Status const& written);

    boost::asio::io_context& context;
    std::filesystem::path path;
    bool is_due = false;
    bool is_writing = false;
    bool has_failed = false;
    instant written_at{};
    // Last, so that its thread has ended before the rest goes.
    boost::asio::thread_pool writer{1};
};

} // namespace bilberrylead::daemon

#endif
