#ifndef BILBERRYLEAD_SOAK_SOAK_SETTINGS_HPP
#define BILBERRYLEAD_SOAK_SOAK_SETTINGS_HPP

#include <cstdint>
#include <optional>

namespace bilberrylead::soak
{

/// What one soak is made of.
struct soak_settings
{
    /// The same seed gives the same plan.
    std::uint64_t seed = 1;
    /// Faults and planned changes, at least 1.
    std::uint32_t faults = 12;
    /// Entry hosts, at least 2.
    std::uint32_t entry_hosts = 4;
    /// Look-ups a second, over all entry hosts.
    std::uint32_t lookups_per_s = 60;
    /// True to draw faults of single upstreams as well: one that ends under
    /// a request, one that names a limit. Plans without them stay as they
    /// were.
    bool upstream_faults = false;
    /// True to draw upstreams that refuse requests and ask for rest as well.
    bool upstream_rests = false;
    /// True to draw changes whose leader is lost when they are confirmed; then
    /// nothing else is drawn.
    bool confirmations = false;
    /// With confirmations: within which time of the loss a change must be in
    /// force; it is awaited without a bound if empty.
    std::optional<std::uint32_t> in_force_bound_ms;
    /// With confirmations: the setting of the control hosts, the default if
    /// empty.
    std::optional<std::uint32_t> confirmation_wait_ms;
};

} // namespace bilberrylead::soak

#endif
