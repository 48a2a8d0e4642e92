#ifndef BILBERRYLEAD_DAEMON_MESSAGE_MEMORY_HPP
#define BILBERRYLEAD_DAEMON_MESSAGE_MEMORY_HPP

#include "bilberrylead/core/time.hpp"
#include "bilberrylead/link/message.hpp"
#include "bilberrylead/store/checksummed_file.hpp"

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/thread_pool.hpp>

#include <chrono>
#include <filesystem>
#include <optional>
#include <string_view>

namespace bilberrylead::daemon
{

/// What a message_memory remembers, and how often.
struct remembered_kind
{
    /// In log lines.
    std::string_view name;
    /// The file in the data folder.
    std::string_view file_name;
    /// What the file is marked with.
    store::file_purpose purpose;
    /// Shortest time between two writings: what a restart finds is so old at
    /// most, beside the time that the restart itself takes.
    duration write_pause;
};

/// The listing of upstreams.
inline constexpr remembered_kind remembered_listing{
    "listing", "listing", store::file_purpose::listing,
    std::chrono::seconds(1)};

/// Which requests run in which region. It changes a little all the time, and
/// one of some seconds ago does as well.
inline constexpr remembered_kind remembered_plan{
    "region plan", "plan", store::file_purpose::region_plan,
    std::chrono::seconds(5)};

/// Remembers the newest message of one kind in the data folder.
///
/// Load it answers: all hosts lose power at once. Without it entry hosts
/// refuse every request until a leader is elected and has read the whole
/// list again, and send every request home until it has planned regions:
/// upstreams there do not know the objects that ran elsewhere, and are slow
/// just then. With it they go on with what was in force seconds before. What
/// has changed since is told by the upstreams themselves, and by the first
/// new reading and plan.
///
/// Nothing depends on the file: one that is missing, torn or of another
/// version is as good as none. It is written by a thread of its own, so that
/// a slow disk holds nothing up. Used by one thread otherwise.
class message_memory
{
public:
    /// Remembers in `folder`; `context` must outlive it.
    message_memory(boost::asio::io_context& context,
                   std::filesystem::path const& folder,
                   remembered_kind const& kind);

    /// The message as it was remembered; nothing if there is none.
    std::optional<link::message> recall() const;

    /// The message changed: it is to be remembered.
    void note_change()
    {
        this->is_due = true;
    }

    /// True if a change is to be remembered now.
    bool wants_message(instant now) const;

    /// Remembers a message.
    void remember(link::message const& content, instant now);

private:
    void note_written(absl::Status const& written);

    boost::asio::io_context& context;
    remembered_kind kind;
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
