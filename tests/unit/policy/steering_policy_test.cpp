#include "bilberrylead/policy/steering_policy.hpp"

#include <criterion/criterion.h>

#include <array>
#include <chrono>

using namespace bilberrylead;
using namespace bilberrylead::policy;
using namespace std::chrono_literals;

namespace
{

/// Two regions with two zones each, two entry hosts a zone.
struct steering_fixture
{
    steering_policy policy;
    traffic_shares shares{2};
    generator random{1};
    instant now{};

    explicit steering_fixture(steering_settings const& settings = {})
        : policy({zone(0), zone(0), zone(1), zone(1)},
                 {host(0), host(0), host(1), host(1), host(2), host(2), host(3),
                  host(3)},
                 settings)
    {
    }

    static steering_zone zone(std::size_t region)
    {
        steering_zone made;
        made.region = region;
        made.slots = 9;
        return made;
    }

    static steering_host host(std::size_t zone)
    {
        steering_host made;
        made.zone = zone;
        return made;
    }

    steering_answer ask(std::size_t region = 0)
    {
        return this->policy.answer(region, this->shares, this->now,
                                   this->random);
    }

    std::array<int, 8> first_hosts(int count)
    {
        std::array<int, 8> firsts{};
        for (int number = 0; number < count; ++number)
        {
            ++firsts.at(this->ask().hosts[0].host);
        }
        return firsts;
    }
};

} // namespace

Test(steering_policy, leaving_host_is_in_no_answer)
{
    steering_fixture fixture;
    fixture.policy.set_takes_callers(0, false);
    for (int number = 0; number < 50; ++number)
    {
        steering_answer const given = fixture.ask();
        cr_assert_eq(given.count, 3);
        for (std::size_t index = 0; index < given.count; ++index)
        {
            cr_assert_neq(given.hosts.at(index).host, 0);
        }
    }
}

// Between two reports 200 callers ask. Zone 0 reported seven of nine slots
// free, zone 1 one. Without counting what was handed out (the rule off)
// nearly all of them are sent to zone 0, twice what it has room for.
Test(steering_policy, handed_out_callers_count_before_they_arrive)
{
    for (bool const counted : {false, true})
    {
        steering_settings settings;
        settings.count_handed_out = counted;
        steering_fixture fixture(settings);
        fixture.policy.report(0, 9, 2, fixture.now);
        fixture.policy.report(1, 9, 8, fixture.now);
        std::array<int, 8> const firsts = fixture.first_hosts(200);
        int const to_zone_0 = firsts[0] + firsts[1];
        cr_assert(counted ? to_zone_0 < 160 : to_zone_0 > 160);
    }
}

Test(steering_policy, answer_lives_shorter_where_there_is_less_room)
{
    steering_fixture fixture;
    cr_assert(fixture.ask().ttl == 30s);
    fixture.policy.report(0, 9, 9, fixture.now);
    fixture.policy.report(1, 9, 9, fixture.now);
    cr_assert(fixture.ask().ttl == 3s);
}

Test(steering_policy, callers_follow_the_shares_of_the_plan)
{
    steering_fixture fixture;
    fixture.shares.move(0, 0, 1, 250);
    std::array<int, 8> const firsts = fixture.first_hosts(4000);
    int const elsewhere = firsts[4] + firsts[5] + firsts[6] + firsts[7];
    cr_assert(elsewhere > 900 && elsewhere < 1100);
}

// A region is lost; the plan has moved nobody yet. Steering must not send
// its callers elsewhere by itself: that would be a move beyond the cap.
Test(steering_policy, callers_of_a_lost_region_hear_not_run)
{
    steering_fixture fixture;
    for (std::size_t host = 0; host < 4; ++host)
    {
        fixture.policy.set_takes_callers(host, false);
    }
    steering_answer const given = fixture.ask();
    cr_assert_eq(given.count, 0);
    cr_assert(given.ttl == 3s);
}
