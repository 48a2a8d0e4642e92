#ifndef BILBERRYLEAD_CONFIG_COLD_BOUNDS_HPP
#define BILBERRYLEAD_CONFIG_COLD_BOUNDS_HPP

namespace bilberrylead::config
{

/// By how much the rate that a cold upstream bears may be exceeded within
/// one second, by all entry hosts together: it crashes well above that.
struct cold_bounds
{
    /// Times the service's cold rate; at least 0.
    double factor = 1;
    /// Requests besides.
    double slack = 0;

    friend bool operator==(cold_bounds const&, cold_bounds const&) = default;
};

} // namespace bilberrylead::config

#endif
