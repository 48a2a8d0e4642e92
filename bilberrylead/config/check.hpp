#ifndef BILBERRYLEAD_CONFIG_CHECK_HPP
#define BILBERRYLEAD_CONFIG_CHECK_HPP

#include <absl/status/status.h>

#include <string>
#include <vector>

namespace bilberrylead::config
{

struct configuration;

/// Checks a whole configuration before it is proposed: ranges, addresses,
/// names defined once, references that resolve, selectors that match an
/// upstream. The error has one line for each fault, each with its remedy.
absl::Status check(configuration const& value);

/// What is allowed but rarely meant, one short sentence each: a service
/// that nobody can serve, a selector that no caller matches.
std::vector<std::string> warnings(configuration const& value);

} // namespace bilberrylead::config

#endif
