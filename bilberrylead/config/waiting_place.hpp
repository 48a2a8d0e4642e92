#ifndef BILBERRYLEAD_CONFIG_WAITING_PLACE_HPP
#define BILBERRYLEAD_CONFIG_WAITING_PLACE_HPP

namespace bilberrylead::config
{

/// Where requests wait while all slots of a service are taken.
enum class waiting_place
{
    /// In a fair queue of the entry host, which sends no more than an
    /// upstream has slots. For upstreams that only few entry hosts use.
    entry_host,
    /// In the upstream's own short queue, as long as the wait there is
    /// worth it: an upstream that many entry hosts share knows best when a
    /// slot comes free.
    upstream,
};

} // namespace bilberrylead::config

#endif
