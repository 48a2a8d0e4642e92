#include "bilberrylead/store/folder_files.hpp"

#include "bilberrylead/core/error.hpp"
#include "bilberrylead/store/durable_file.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <string>
#include <string_view>
#include <system_error>

namespace bilberrylead::store
{

namespace
{

constexpr mode_t private_file_mode = 0600;

std::filesystem::path temporary_path(std::filesystem::path const& path)
{
    return path.string() + ".tmp";
}

absl::Status system_error(std::string_view operation,
                          std::filesystem::path const& path)
{
    return make_error(
        error_kind::storage,
        fmt::format("{} {} failed: {}.", operation, path.string(),
                    std::strerror(errno)),
        "Check the disk and the folder's owner, then restart this process.");
}

} // namespace

absl::Status create_folder(std::filesystem::path const& folder)
{
    std::error_code failure;
    if (std::filesystem::is_directory(folder, failure))
    {
        return absl::OkStatus();
    }
    constexpr mode_t private_folder_mode = 0700;
    if (::mkdir(folder.c_str(), private_folder_mode) != 0 && errno != EEXIST)
    {
        return system_error("Creating the data folder", folder);
    }
    std::filesystem::path const parent = folder.parent_path();
    return sync_folder(parent.empty() ? std::filesystem::path(".") : parent);
}

absl::Status sync_folder(std::filesystem::path const& folder)
{
    file_descriptor const descriptor(
        ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (!descriptor.is_open() || ::fsync(descriptor.get()) != 0)
    {
        return system_error("Syncing the folder", folder);
    }
    return absl::OkStatus();
}

absl::StatusOr<std::optional<bytes>>
read_file(std::filesystem::path const& path)
{
    file_descriptor const descriptor(
        ::open(path.c_str(), O_RDONLY | O_CLOEXEC));
    if (!descriptor.is_open())
    {
        if (errno == ENOENT)
        {
            return std::optional<bytes>();
        }
        return system_error("Opening", path);
    }
    struct stat file_status = {};
    if (::fstat(descriptor.get(), &file_status) != 0)
    {
        return system_error("Reading", path);
    }
    bytes content(static_cast<std::size_t>(file_status.st_size));
    std::size_t position = 0;
    while (position < content.size())
    {
        ssize_t const count =
            ::read(descriptor.get(), content.data() + position,
                   content.size() - position);
        if (count < 0 && errno == EINTR)
        {
            continue;
        }
        if (count <= 0)
        {
            return system_error("Reading", path);
        }
        position += static_cast<std::size_t>(count);
    }
    return std::optional<bytes>(std::move(content));
}

absl::Status replace_file(std::filesystem::path const& path,
                          std::span<std::uint8_t const> content)
{
    std::filesystem::path const temporary = temporary_path(path);
    file_descriptor descriptor(::open(temporary.c_str(),
                                      O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC,
                                      private_file_mode));
    if (!descriptor.is_open())
    {
        return system_error("Creating", temporary);
    }
    durable_file<> file(std::move(descriptor), temporary.string());
    absl::Status written = file.append(content);
    if (!written.ok())
    {
        remove_temporary_file(path);
        return written;
    }
    if (::rename(temporary.c_str(), path.c_str()) != 0)
    {
        absl::Status failure = system_error("Renaming", temporary);
        remove_temporary_file(path);
        return failure;
    }
    return absl::OkStatus();
}

void remove_temporary_file(std::filesystem::path const& path)
{
    ::unlink(temporary_path(path).c_str());
}

absl::StatusOr<file_descriptor>
open_for_append(std::filesystem::path const& path)
{
    file_descriptor descriptor(
        ::open(path.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC));
    if (!descriptor.is_open())
    {
        return system_error("Opening", path);
    }
    return descriptor;
}

absl::StatusOr<file_descriptor> lock_file(std::filesystem::path const& path)
{
    file_descriptor descriptor(
        ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, private_file_mode));
    if (!descriptor.is_open())
    {
        return system_error("Opening", path);
    }
    if (::flock(descriptor.get(), LOCK_EX | LOCK_NB) != 0)
    {
        if (errno != EWOULDBLOCK)
        {
            return system_error("Locking", path);
        }
        return make_error(
            error_kind::storage,
            fmt::format("Another process uses the data folder (lock {}).",
                        path.string()),
            "Stop it, or give this process a data folder of its own.");
    }
    return descriptor;
}

} // namespace bilberrylead::store
