#ifndef BILBERRYLEAD_SCENARIO_RUNNER_SCENARIO_FILES_HPP
#define BILBERRYLEAD_SCENARIO_RUNNER_SCENARIO_FILES_HPP

#include <cstdint>
#include <filesystem>
#include <string>

namespace bilberrylead::scenario
{

/// A whole file as text; empty if it can't be read.
std::string read_all(std::filesystem::path const& path);

/// An address on loopback, as settings and command lines write it.
std::string loopback(std::uint16_t port);

} // namespace bilberrylead::scenario

#endif
