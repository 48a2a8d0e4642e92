#include "tests/unit/entry/relay_fleet.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstddef>

using namespace bilberrylead;
using namespace bilberrylead::entry;

namespace
{

constexpr std::size_t fleet_sizes[] = {2, 11, 71, 300};
/// From this time after the cut on, callers are served at cut-off hosts.
constexpr duration contact_time = 4s;
constexpr duration cut_time = 13s;
/// First tries at hosts that are cut off are served at least this often as
/// those at the others: two thirds.
constexpr double min_relative_share = 2.0 / 3;

double share_of(relay_fleet::tally const& counted)
{
    return counted.sent == 0 ? 1
                             : static_cast<double>(counted.served) /
                                   static_cast<double>(counted.sent);
}

std::size_t failed(relay_fleet::tally const& counted)
{
    return counted.sent - std::min(counted.sent, counted.served);
}

} // namespace

// Guards against callers of hosts that are cut off from all upstreams and are
// served far worse than those of the others.
Test(relay_fleet, callers_of_cut_off_hosts_are_served)
{
    for (cut_form const form : {cut_form::refused, cut_form::hanging})
    {
        for (std::size_t const hosts : fleet_sizes)
        {
            relay_fleet fleet(hosts);
            fleet.run_for(2s);
            fleet.cut(std::max<std::size_t>(hosts / 3, 1), form);
            fleet.run_for(contact_time);
            fleet.start_counting();
            fleet.run_for(cut_time - contact_time);
            cr_expect_gt(fleet.relayed, 0U);
            cr_expect_geq(share_of(fleet.at_cut_hosts),
                          min_relative_share * share_of(fleet.at_others),
                          "%zu hosts: %.3f and %.3f", hosts,
                          share_of(fleet.at_cut_hosts),
                          share_of(fleet.at_others));
            std::size_t const all =
                fleet.at_cut_hosts.sent + fleet.at_others.sent;
            cr_expect_leq(failed(fleet.at_cut_hosts) + failed(fleet.at_others),
                          10 + all / 50, "%zu hosts", hosts);
        }
    }
}

// Guards against hosts that go on passing requests on after the cut.
Test(relay_fleet, requests_are_placed_directly_again_after_the_cut)
{
    for (cut_form const form : {cut_form::refused, cut_form::hanging})
    {
        relay_fleet fleet(11);
        fleet.cut(5, form);
        fleet.run_for(cut_time);
        fleet.heal();
        fleet.run_for(contact_time);
        fleet.start_counting();
        fleet.run_for(5s);
        cr_expect_eq(fleet.relayed, 0U);
        cr_expect_geq(share_of(fleet.at_others), 0.98);
    }
}

// Guards against requests that hosts pass to and fro if none reaches upstreams,
// and against callers that wait instead of being refused.
Test(relay_fleet, nothing_is_passed_on_if_all_hosts_are_cut_off)
{
    relay_fleet fleet(11);
    fleet.cut(11, cut_form::refused);
    fleet.run_for(contact_time);
    fleet.start_counting();
    fleet.run_for(5s);
    cr_expect_eq(fleet.relayed, 0U);
    fleet.heal();
    fleet.run_for(contact_time);
    fleet.start_counting();
    fleet.run_for(2s);
    cr_expect_geq(share_of(fleet.at_others), 0.98);
}
