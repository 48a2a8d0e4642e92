#include "bilberrylead/policy/slot_deal.hpp"
#include "bilberrylead/policy/slot_owner.hpp"

#include <criterion/criterion.h>

#include <chrono>
#include <variant>
#include <vector>

using namespace bilberrylead;
using namespace bilberrylead::policy;
using namespace std::chrono_literals;

Test(slot_deal, every_slot_is_dealt_to_exactly_one_host)
{
    std::vector<std::uint32_t> const slots = {3, 3, 2, 3};
    for (std::size_t hosts = 1; hosts <= 13; ++hosts)
    {
        std::vector<std::uint32_t> sum(slots.size(), 0);
        for (std::size_t host = 0; host < hosts; ++host)
        {
            std::vector<std::uint32_t> const part =
                deal_slots(slots, host, hosts);
            for (std::size_t upstream = 0; upstream < sum.size(); ++upstream)
            {
                sum[upstream] += part[upstream];
            }
        }
        cr_assert(sum == slots);
    }
}

// More hosts than slots: a host without any must refuse at once and not let
// requests wait for a slot that never comes.
Test(slot_deal, host_without_a_slot_refuses_at_once)
{
    slot_owner owner(deal_slots({3}, 3, 4), {});
    owner.reduce(ownership_started{1, instant(10s), {}, 0}, {});
    slot_asked asked;
    asked.time_left = 2s;
    std::vector<slot_owner_effect> const effects = owner.reduce(asked, {});
    cr_assert_eq(effects.size(), 1);
    cr_assert(std::get<slot_refused>(effects[0]).refusal.reason ==
              refusal_reason::no_upstream);
}
