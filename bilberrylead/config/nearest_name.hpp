#ifndef BILBERRYLEAD_CONFIG_NEAREST_NAME_HPP
#define BILBERRYLEAD_CONFIG_NEAREST_NAME_HPP

#include <span>
#include <string>
#include <string_view>

namespace bilberrylead::config
{

/// The known name that differs least from a name somebody wrote, for
/// errors; empty if none is near enough to be a likely slip.
std::string nearest_name(std::string_view written,
                         std::span<std::string const> known);

} // namespace bilberrylead::config

#endif
