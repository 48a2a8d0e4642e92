#include "bilberrylead/policy/least_completion_choice.hpp"
#include "bilberrylead/policy/least_in_flight_choice.hpp"
#include "bilberrylead/policy/power_of_two_choice.hpp"
#include "bilberrylead/policy/random_choice.hpp"
#include "bilberrylead/policy/retry_budget.hpp"
#include "bilberrylead/policy/round_robin_choice.hpp"

#include <criterion/criterion.h>

#include <chrono>
#include <string>

using namespace bilberrylead;
using namespace bilberrylead::policy;
using namespace std::chrono_literals;

namespace
{

upstream_set three_upstreams()
{
    upstream_set set;
    for (char const* const name : {"a", "b", "c"})
    {
        upstream_view view;
        view.id = upstream_id(name);
        view.slots = 3;
        view.usable_slots = 3;
        set.upstreams.push_back(view);
    }
    return set;
}

template <upstream_choice Choice>
std::optional<std::size_t> choose(Choice choice, upstream_set const& set)
{
    generator random(1);
    return choice.choose(set, instant{}, random);
}

} // namespace

Test(upstream_choice, leaving_ejected_and_excluded_upstreams_get_no_requests)
{
    upstream_set set = three_upstreams();
    set.upstreams[0].leaving = true;
    set.upstreams[1].usable_slots = 0;
    set.upstreams[2].allowed = false;
    cr_assert_not(choose(random_choice(), set).has_value());
    cr_assert_not(choose(round_robin_choice(), set).has_value());
    cr_assert_not(choose(least_in_flight_choice(), set).has_value());
    cr_assert_not(choose(power_of_two_choice(), set).has_value());
    cr_assert_not(choose(least_completion_choice(), set).has_value());
}

Test(least_completion_choice,
     slow_upstream_is_selected_last_until_others_are_full)
{
    upstream_set set = three_upstreams();
    set.upstreams[0].service_time = 100ms;
    set.upstreams[1].in_flight = 3;
    set.upstreams[2].in_flight = 3;
    cr_assert_neq(*choose(least_completion_choice(), set), 0);
    cr_assert_eq(*choose(least_in_flight_choice(), set), 0);
    set.upstreams[1].in_flight = 20;
    set.upstreams[2].in_flight = 20;
    cr_assert_eq(*choose(least_completion_choice(), set), 0);
}

// Guards against an upstream that attracts work by reporting "idle" while it is
// busy: a report may only add to the in-flight count of this entry host.
Test(least_completion_choice, idle_report_does_not_hide_own_requests)
{
    upstream_set set = three_upstreams();
    set.upstreams[0].in_flight = 6;
    set.upstreams[0].in_use_by_others = 0;
    set.upstreams[0].report_age = 0ms;
    cr_assert_neq(*choose(least_completion_choice(), set), 0);
}

Test(least_completion_choice, report_loses_weight_with_age)
{
    upstream_view view = three_upstreams().upstreams[0];
    least_completion_choice const choice;
    view.in_use_by_others = 9;
    view.report_age = 0ms;
    cr_assert(choice.expected_completion(view) > 60ms);
    view.report_age = 100ms;
    cr_assert(choice.expected_completion(view) == 20ms);
}

// A region fails: none of 1,000 requests succeeds. Without the retry budget,
// each request would be sent three times and triple the load on the upstreams
// that still work.
Test(retry_budget, retries_do_not_multiply_the_load_on_a_failing_region)
{
    retry_budget budget;
    generator random(1);
    retry_request const question{true, false, 1, instant(2s), 100ms};
    int retries = 0;
    for (int request = 0; request < 1000; ++request)
    {
        retries += budget.request_retry(question, instant{}, random) ? 1 : 0;
    }
    cr_assert_eq(retries, 3);
    for (int request = 0; request < 1000; ++request)
    {
        budget.record_success();
    }
    cr_assert_float_eq(budget.available(), 10, 1e-9);
}

Test(retry_budget, request_that_may_have_run_is_not_repeated)
{
    retry_budget budget;
    generator random(1);
    retry_request question{false, false, 1, instant(2s), 100ms};
    cr_assert_not(budget.request_retry(question, instant{}, random));
    question.certainly_not_run = true;
    cr_assert(budget.request_retry(question, instant{}, random));
}

Test(retry_budget, retry_beyond_the_deadline_or_attempts_is_abandoned)
{
    retry_budget budget;
    generator random(1);
    cr_assert_not(budget.request_retry({true, false, 1, instant(50ms), 100ms},
                                       {}, random));
    cr_assert_not(
        budget.request_retry({true, false, 3, instant(2s), 100ms}, {}, random));
}
