#ifndef BILBERRYLEAD_CONFIG_ADMISSION_MODE_HPP
#define BILBERRYLEAD_CONFIG_ADMISSION_MODE_HPP

namespace bilberrylead::config
{

/// How entry hosts decide whose requests are admitted while the capacity of a
/// service is insufficient.
enum class admission_mode
{
    /// Regardless of rank and customer.
    none,
    /// By rank, from the observations of each host alone.
    by_rank,
    /// By the shares that the leader plans for ranks and customers; by rank
    /// while there is no current plan.
    by_plan
};

} // namespace bilberrylead::config

#endif
