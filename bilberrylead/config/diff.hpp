#ifndef BILBERRYLEAD_CONFIG_DIFF_HPP
#define BILBERRYLEAD_CONFIG_DIFF_HPP

#include <string>
#include <vector>

namespace bilberrylead::config
{

struct configuration;
struct configuration_change;

/// What differs between two configurations, by list and name. The order of
/// elements in a list is no difference.
std::vector<configuration_change> diff(configuration const& before,
                                       configuration const& after);

/// One line for each change, as `bilberryctl diff` shows it:
/// "+ upstreams u3", "- upstreams u2", "~ upstreams u1: slots 3 -> 5".
std::string to_text(std::vector<configuration_change> const& changes);

} // namespace bilberrylead::config

#endif
