#ifndef BILBERRYLEAD_SCENARIO_RUNNER_SCENARIO_FILES_HPP
#define BILBERRYLEAD_SCENARIO_RUNNER_SCENARIO_FILES_HPP

#include <cstdint>
#include <filesystem>
#include <string>

namespace bilberrylead::scenario
{

/// What bilberryctl proves itself with to the control hosts of a scenario.
inline constexpr char const* operator_key =
    "an-operator-key-for-scenarios-only-00001";

/// A whole file as text; empty if it can't be read.
std::string read_all(std::filesystem::path const& path);

/// An address on loopback, as settings and command lines write it.
std::string loopback(std::uint16_t port);

} // namespace bilberrylead::scenario

#endif
