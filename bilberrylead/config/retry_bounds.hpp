#ifndef BILBERRYLEAD_CONFIG_RETRY_BOUNDS_HPP
#define BILBERRYLEAD_CONFIG_RETRY_BOUNDS_HPP

namespace bilberrylead::config
{

/// What all entry hosts together may send to one service beyond the first
/// try of each request. Each host keeps to its share by itself.
struct retry_bounds
{
    /// Further tries for each request. A tenth: when everything fails, the
    /// load on what is left grows by a tenth at most.
    double ratio = 0.1;
    /// Further tries in a window that are allowed besides, so that a quiet
    /// service can retry too.
    double slack = 40;

    friend bool operator==(retry_bounds const&, retry_bounds const&) = default;
};

} // namespace bilberrylead::config

#endif
