#ifndef BILBERRYLEAD_CONFIG_MATCHES_HPP
#define BILBERRYLEAD_CONFIG_MATCHES_HPP

#include "bilberrylead/config/labels.hpp"

namespace bilberrylead::config
{

struct selector;
struct upstream;

/// True if every wanted label is carried; nothing wanted matches all.
bool matches(labels const& wanted, labels const& carried);

/// True if the selector speaks of the upstream: same service, and the
/// upstream carries the labels. A leaving one matches too, so that a drain
/// never makes a configuration invalid.
bool matches(selector const& rule, upstream const& candidate);

} // namespace bilberrylead::config

#endif
