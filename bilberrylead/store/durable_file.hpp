#ifndef BILBERRYLEAD_STORE_DURABLE_FILE_HPP
#define BILBERRYLEAD_STORE_DURABLE_FILE_HPP

#include "bilberrylead/core/error.hpp"
#include "bilberrylead/store/file_descriptor.hpp"
#include "bilberrylead/store/posix_calls.hpp"

#include <absl/status/status.h>
#include <fmt/format.h>

#include <cerrno>
#include <concepts>
#include <cstdint>
#include <cstring>
#include <span>
#include <string>
#include <utility>

namespace bilberrylead::store
{

/// System calls that durable_file needs.
template <class Calls>
concept file_calls =
    requires(int descriptor, std::span<std::uint8_t const> data) {
        { Calls::write(descriptor, data) } -> std::convertible_to<ssize_t>;
        { Calls::sync(descriptor) } -> std::convertible_to<int>;
    };

/// An append-only file whose content is durable once it is synced. Used by
/// one thread.
///
/// After a failed write or sync every further append fails. The kernel may
/// drop the pages that it could not write and mark them clean: a second sync
/// then reports success for data that never reached the disk, and an
/// accepted change is lost at the next power failure. Only a restart, which
/// reads the file again, shows what it contains.
template <file_calls Calls = posix_calls>
class durable_file
{
public:
    /// Owns no file; append() fails.
    durable_file() = default;

    /// Takes ownership of a file that is positioned at its end.
    /// `display_path` names it in errors.
    durable_file(file_descriptor&& open_file, std::string display_path)
        : file(std::move(open_file)), path(std::move(display_path))
    {
    }

    /// Writes all of `data` and syncs it; error_kind::storage if either fails
    /// or has failed before.
    absl::Status append(std::span<std::uint8_t const> data)
    {
        if (this->failed)
        {
            return this->write_error("an earlier write or sync failed");
        }
        this->failed = true;
        while (!data.empty())
        {
            ssize_t const written = Calls::write(this->file.get(), data);
            if (written < 0 && errno == EINTR)
            {
                continue;
            }
            if (written <= 0)
            {
                return this->write_error(std::strerror(errno));
            }
            data = data.subspan(static_cast<std::size_t>(written));
        }
        if (Calls::sync(this->file.get()) != 0)
        {
            return this->write_error(std::strerror(errno));
        }
        this->failed = false;
        return absl::OkStatus();
    }

    /// True from the first failed write or sync on.
    bool has_failed() const
    {
        return this->failed;
    }

private:
    absl::Status write_error(char const* reason) const
    {
        return make_error(
            error_kind::storage,
            fmt::format("Writing {} failed: {}.", this->path, reason),
            "Free disk space or replace the disk, then restart this process.");
    }

    file_descriptor file;
    std::string path;
    bool failed = false;
};

} // namespace bilberrylead::store

#endif
