#include "bilberrylead/policy/long_work_limit.hpp"

#include <algorithm>

namespace bilberrylead::policy
{

std::uint32_t long_work_limit::max_slots(std::uint32_t slots,
                                         double brief_average) const
{
    if (slots == 0 || !this->settings.enabled)
    {
        return slots;
    }
    double const share = slots * this->settings.max_share;
    double const left =
        slots - brief_average * this->settings.brief_headroom_factor;
    double const limit = std::min(share, left);
    return std::max(1U, static_cast<std::uint32_t>(std::max(0.0, limit)));
}

bool long_work_limit::allows(config::work_length length, std::uint32_t slots,
                             std::uint32_t long_held,
                             double brief_average) const
{
    return length == config::work_length::brief ||
           long_held < this->max_slots(slots, brief_average);
}

} // namespace bilberrylead::policy
