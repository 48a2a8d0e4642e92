#include "bilberrylead/policy/slot_deal.hpp"

#include <cassert>

namespace bilberrylead::policy
{

std::vector<std::uint32_t> deal_slots(std::vector<std::uint32_t> const& slots,
                                      std::size_t host, std::size_t hosts)
{
    assert(host < hosts);
    std::vector<std::uint32_t> dealt(slots.size(), 0);
    std::size_t turn = 0;
    for (std::size_t upstream = 0; upstream < slots.size(); ++upstream)
    {
        for (std::uint32_t slot = 0; slot < slots[upstream]; ++slot)
        {
            dealt[upstream] += turn % hosts == host ? 1 : 0;
            ++turn;
        }
    }
    return dealt;
}

} // namespace bilberrylead::policy
