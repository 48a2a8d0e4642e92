#ifndef BILBERRYLEAD_POLICY_REPORT_STATE_HPP
#define BILBERRYLEAD_POLICY_REPORT_STATE_HPP

#include <cstdint>

namespace bilberrylead::policy
{

/// How far the reports of other hosts on a shared resource can be relied on.
enum class report_state : std::uint8_t
{
    /// They arrive in time.
    timely,
    /// They arrive, but have been late recently.
    late,
    /// None has arrived for some time.
    missing
};

} // namespace bilberrylead::policy

#endif
