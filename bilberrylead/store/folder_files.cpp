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

constexpr mode_t private_file = 0600;

std::filesystem::path unfinished_name(std::filesystem::path const& path)
{
    return path.string() + ".tmp";
}

absl::Status system_error(std::string_view what,
                          std::filesystem::path const& path)
{
    return make_error(
        error_kind::storage,
        fmt::format("{} {} failed: {}.", what, path.string(),
                    std::strerror(errno)),
        "Check the disk and the folder's owner, then restart this process.");
}

} // namespace

absl::Status make_folder(std::filesystem::path const& folder)
{
    std::error_code failure;
    if (std::filesystem::is_directory(folder, failure))
    {
        return absl::OkStatus();
    }
    constexpr mode_t private_folder = 0700;
    if (::mkdir(folder.c_str(), private_folder) != 0 && errno != EEXIST)
    {
        return system_error("Making the data folder", folder);
    }
    std::filesystem::path const parent = folder.parent_path();
    return sync_folder(parent.empty() ? std::filesystem::path(".") : parent);
}

absl::Status sync_folder(std::filesystem::path const& folder)
{
    file_descriptor const opened(
        ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (!opened.is_open() || ::fsync(opened.get()) != 0)
    {
        return system_error("Syncing the folder", folder);
    }
    return absl::OkStatus();
}

absl::StatusOr<std::optional<bytes>>
read_file(std::filesystem::path const& path)
{
    file_descriptor const opened(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
    if (!opened.is_open())
    {
        if (errno == ENOENT)
        {
            return std::optional<bytes>();
        }
        return system_error("Opening", path);
    }
    struct stat details = {};
    if (::fstat(opened.get(), &details) != 0)
    {
        return system_error("Reading", path);
    }
    bytes content(static_cast<std::size_t>(details.st_size));
    std::size_t position = 0;
    while (position < content.size())
    {
        ssize_t const got = ::read(opened.get(), content.data() + position,
                                   content.size() - position);
        if (got < 0 && errno == EINTR)
        {
            continue;
        }
        if (got <= 0)
        {
            return system_error("Reading", path);
        }
        position += static_cast<std::size_t>(got);
    }
    return std::optional<bytes>(std::move(content));
}

absl::Status replace_file(std::filesystem::path const& path,
                          std::span<std::uint8_t const> content)
{
    std::filesystem::path const unfinished = unfinished_name(path);
    file_descriptor opened(::open(unfinished.c_str(),
                                  O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC,
                                  private_file));
    if (!opened.is_open())
    {
        return system_error("Making", unfinished);
    }
    durable_file<> file(std::move(opened), unfinished.string());
    absl::Status written = file.append(content);
    if (!written.ok())
    {
        remove_unfinished(path);
        return written;
    }
    if (::rename(unfinished.c_str(), path.c_str()) != 0)
    {
        absl::Status failure = system_error("Renaming", unfinished);
        remove_unfinished(path);
        return failure;
    }
    return absl::OkStatus();
}

void remove_unfinished(std::filesystem::path const& path)
{
    ::unlink(unfinished_name(path).c_str());
}

absl::StatusOr<file_descriptor>
open_to_append(std::filesystem::path const& path)
{
    file_descriptor opened(
        ::open(path.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC));
    if (!opened.is_open())
    {
        return system_error("Opening", path);
    }
    return opened;
}

absl::StatusOr<file_descriptor> lock_file(std::filesystem::path const& path)
{
    file_descriptor opened(
        ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, private_file));
    if (!opened.is_open())
    {
        return system_error("Opening", path);
    }
    if (::flock(opened.get(), LOCK_EX | LOCK_NB) != 0)
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
    return opened;
}

} // namespace bilberrylead::store
