#include "bilberrylead/daemon/listing_memory.hpp"

#include "bilberrylead/core/log.hpp"
#include "bilberrylead/link/message.hpp"
#include "bilberrylead/store/checked_file.hpp"
#include "bilberrylead/store/folder_files.hpp"

#include <absl/status/statusor.h>
#include <boost/asio/post.hpp>

#include <chrono>
#include <string>
#include <utility>
#include <variant>

namespace bilberrylead::daemon
{

namespace
{

constexpr part_log log{"control"};
constexpr char const* file_name = "listing";
/// Shortest time between two writings: what a restart finds is a second old
/// at most, beside the seconds that the restart itself takes.
constexpr std::chrono::seconds write_pause{1};

} // namespace

listing_memory::listing_memory(boost::asio::io_context& where,
                               std::filesystem::path const& folder)
    : context(where), path(folder / file_name)
{
}

std::optional<discovery::list_changes> listing_memory::recall() const
{
    absl::StatusOr<std::optional<bytes>> const held =
        store::read_file(this->path);
    if (!held.ok() || !held->has_value())
    {
        return std::nullopt;
    }
    std::optional<store::checked_file> const file =
        store::decode_checked_file(store::file_purpose::listing, **held);
    if (!file.has_value())
    {
        log.warning("The remembered listing is damaged and not used.");
        return std::nullopt;
    }
    absl::StatusOr<link::message> content = link::decode(file->content);
    link::upstream_update* const update =
        content.ok() ? std::get_if<link::upstream_update>(&*content) : nullptr;
    if (update == nullptr || !update->changes.whole)
    {
        log.warning("The remembered listing can't be read and is not used.");
        return std::nullopt;
    }
    return std::move(update->changes);
}

bool listing_memory::wants_listing(instant now) const
{
    return this->is_due && !this->is_writing &&
           now - this->written_at >= write_pause;
}

void listing_memory::remember(discovery::list_changes const& whole, instant now)
{
    this->is_due = false;
    this->is_writing = true;
    this->written_at = now;
    bytes content = store::encode_checked_file(
        store::file_purpose::listing, whole.target.number,
        link::encode(link::upstream_update{whole}));
    boost::asio::post(
        this->writer,
        [this, content = std::move(content)]()
        {
            absl::Status written = store::replace_file(this->path, content);
            if (written.ok())
            {
                written = store::sync_folder(this->path.parent_path());
            }
            boost::asio::post(this->context,
                              [this, written = std::move(written)]()
                              {
                                  this->note_written(written);
                              });
        });
}

void listing_memory::note_written(absl::Status const& written)
{
    this->is_writing = false;
    if (!written.ok() && !this->has_failed)
    {
        log.warning("The listing could not be remembered: {}",
                    std::string(written.message()));
    }
    // The next change tries again; it is news only when it works again.
    this->has_failed = !written.ok();
}

} // namespace bilberrylead::daemon
