#include "scenario_files.hpp"

#include <fmt/format.h>

#include <fstream>
#include <iterator>

namespace bilberrylead::scenario
{

std::string read_all(std::filesystem::path const& path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

std::string loopback(std::uint16_t port)
{
    return fmt::format("127.0.0.1:{}", port);
}

} // namespace bilberrylead::scenario
