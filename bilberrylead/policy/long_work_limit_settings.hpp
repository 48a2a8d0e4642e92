#ifndef BILBERRYLEAD_POLICY_LONG_WORK_LIMIT_SETTINGS_HPP
#define BILBERRYLEAD_POLICY_LONG_WORK_LIMIT_SETTINGS_HPP

namespace bilberrylead::policy
{

/// Settings of long_work_limit.
struct long_work_limit_settings
{
    /// Largest share of the slots for long work, 0 to 1. A third leaves
    /// brief work two of the three slots that an upstream usually has.
    double max_share = 1.0 / 3.0;
    /// Slots kept for brief work, as a multiple of what it held on average;
    /// at least 1. A quarter on top covers its swings at 80 % of slots.
    double brief_headroom_factor = 1.25;
    /// False lets long work into every slot (for comparison).
    bool enabled = true;
};

} // namespace bilberrylead::policy

#endif
