#ifndef BILBERRYLEAD_CONFIG_OBJECT_HOMES_HPP
#define BILBERRYLEAD_CONFIG_OBJECT_HOMES_HPP

namespace bilberrylead::config
{

/// Upstreams among which an object has its home, the upstream that is preferred
/// for it so that its cache holds the object.
enum class object_homes
{
    /// All upstreams of the region.
    region,
    /// The upstreams of the entry host's own zone, as long as their caches hold
    /// all objects that are requested there.
    zone,
};

} // namespace bilberrylead::config

#endif
