#ifndef BILBERRYLEAD_CONFIG_LABELS_HPP
#define BILBERRYLEAD_CONFIG_LABELS_HPP

#include <map>
#include <string>

namespace bilberrylead::config
{

/// Key and value pairs that operators attach to services, upstreams, places
/// and callers, and that selectors match. Ordered, so that two equal
/// configurations encode to equal bytes.
using labels = std::map<std::string, std::string>;

} // namespace bilberrylead::config

#endif
