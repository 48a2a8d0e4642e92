#ifndef BILBERRYLEAD_DAEMON_READ_FILE_HPP
#define BILBERRYLEAD_DAEMON_READ_FILE_HPP

#include <absl/status/statusor.h>

#include <string>

namespace bilberrylead::daemon
{

/// Reads a whole file. Kind `storage` if it can't be read.
absl::StatusOr<std::string> read_file(std::string const& path);

} // namespace bilberrylead::daemon

#endif
