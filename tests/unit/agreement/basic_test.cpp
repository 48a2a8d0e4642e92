#include "test_group.hpp"

#include <criterion/criterion.h>

using namespace bilberrylead::agreement;
using namespace bilberrylead::agreement::tests;

Test(replica, three_founders_when_started_elect_one_and_accept_a_proposal)
{
    test_group group(3, 0, 1);
    cr_assert(group.run_until_led());
    std::size_t const leader = *group.leader();
    std::uint64_t const token = group.propose_at(leader);
    group.carry_out_all(leader);
    group.deliver_all();
    cr_assert(group.outcome_of(token) == outcome::accepted);
    cr_assert_not(group.checker.breach.has_value(), "%s",
                  group.checker.breach.value_or("").c_str());
}
