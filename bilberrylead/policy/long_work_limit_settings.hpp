#ifndef BILBERRYLEAD_POLICY_LONG_WORK_LIMIT_SETTINGS_HPP
#define BILBERRYLEAD_POLICY_LONG_WORK_LIMIT_SETTINGS_HPP

namespace bilberrylead::policy
{

/// Settings of long_work_limit.
struct long_work_limit_settings
{
    /// Maximum share of the slots for long work, 0 to 1. A third leaves two of
    /// the three slots that an upstream usually has to brief work.
    double max_share = 1.0 / 3.0;
    /// Slots reserved for brief work, as a multiple of the average number that
    /// it holds; at least 1. A quarter more covers its fluctuations at a load
    /// of 80 % of the slots.
    double brief_headroom_factor = 1.25;
    /// False lets long work use every slot (for comparison).
    bool enabled = true;
};

} // namespace bilberrylead::policy

#endif
