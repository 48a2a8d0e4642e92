#include "bilberrylead/daemon/read_file.hpp"

#include "bilberrylead/core/error.hpp"

#include <fmt/format.h>

#include <fstream>
#include <iterator>

namespace bilberrylead::daemon
{

absl::StatusOr<std::string> read_file(std::string const& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
    {
        return make_error(error_kind::storage,
                          fmt::format("'{}' cannot be read.", path),
                          "Check the path and who may read it.");
    }
    return std::string(std::istreambuf_iterator<char>(file), {});
}

} // namespace bilberrylead::daemon
