#include "bilberrylead/daemon/message_memory.hpp"

#include "bilberrylead/core/log.hpp"
#include "bilberrylead/store/folder_files.hpp"

#include <absl/status/statusor.h>
#include <boost/asio/post.hpp>

#include <string>
#include <utility>

namespace bilberrylead::daemon
{

namespace
{

constexpr part_log log{"control"};
/// No order stands behind these files.
constexpr std::uint64_t no_number = 0;

} // namespace

message_memory::message_memory(boost::asio::io_context& where,
                               std::filesystem::path const& folder,
                               remembered_kind const& what)
    : context(where), kind(what), path(folder / what.file_name)
{
}

std::optional<link::message> message_memory::recall() const
{
    absl::StatusOr<std::optional<bytes>> const held =
        store::read_file(this->path);
    if (!held.ok() || !held->has_value())
    {
        return std::nullopt;
    }
    std::optional<store::checksummed_file> const file =
        store::decode_checksummed_file(this->kind.purpose, **held);
    if (!file.has_value())
    {
        log.warning("The remembered {} is damaged and not used.",
                    this->kind.name);
        return std::nullopt;
    }
    absl::StatusOr<link::message> content = link::decode(file->content);
    if (!content.ok())
    {
        log.warning("The remembered {} can't be read and is not used.",
                    this->kind.name);
        return std::nullopt;
    }
    return *std::move(content);
}

bool message_memory::wants_message(instant now) const
{
    return this->is_due && !this->is_writing &&
           now - this->written_at >= this->kind.write_pause;
}

void message_memory::remember(link::message const& newest, instant now)
{
    this->is_due = false;
    this->is_writing = true;
    this->written_at = now;
    bytes content = store::encode_checksummed_file(
        this->kind.purpose, no_number, link::encode(newest));
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

void message_memory::note_written(absl::Status const& written)
{
    this->is_writing = false;
    if (!written.ok() && !this->has_failed)
    {
        log.warning("The {} could not be remembered: {}", this->kind.name,
                    std::string(written.message()));
    }
    // The next change tries again; it is news only when it works again.
    this->has_failed = !written.ok();
}

} // namespace bilberrylead::daemon
