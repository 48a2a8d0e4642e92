#ifndef BILBERRYLEAD_CONFIG_OBJECT_OVERFLOW_HPP
#define BILBERRYLEAD_CONFIG_OBJECT_OVERFLOW_HPP

namespace bilberrylead::config
{

/// What happens to a request while the upstreams that have its object cached
/// are full.
enum class object_overflow
{
    /// It is refused.
    refuse,
    /// It runs on another upstream of the region if one has a free slot.
    free_slot,
};

} // namespace bilberrylead::config

#endif
