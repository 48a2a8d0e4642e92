#ifndef BILBERRYLEAD_CONFIG_DELTA_HPP
#define BILBERRYLEAD_CONFIG_DELTA_HPP

#include "bilberrylead/core/bytes.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <span>

namespace bilberrylead::config
{

struct configuration;

/// Names the content of a configuration: equal for equal ones, whatever the
/// order of their lists. Not against forgery; it finds mix-ups and faults.
std::uint64_t digest_of(configuration const& value);

/// What turns one configuration into another, as CBOR. Its size follows
/// the elements that differ, not the configuration.
bytes make_delta(configuration const& before, configuration const& after);

/// The other configuration. An error if the delta is damaged, was made from
/// another configuration than this, or does not lead where it was meant to:
/// then ask for the whole configuration. Never throws.
absl::StatusOr<configuration> apply_delta(configuration const& before,
                                          std::span<std::uint8_t const> delta);

} // namespace bilberrylead::config

#endif
