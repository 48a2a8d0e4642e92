#include "bilberrylead/policy/upstream_rest.hpp"

#include "bilberrylead/policy/generator.hpp"

#include <criterion/criterion.h>

#include <chrono>
#include <limits>

using namespace bilberrylead;
using namespace std::chrono_literals;
using policy::upstream_rest;

namespace
{

instant const start = instant{} + 1h;
policy::generator test_random{7};

} // namespace

Test(upstream_rest, without_a_request_there_is_no_bound)
{
    upstream_rest const rest;
    cr_expect_not(rest.is_resting(start));
    cr_expect_eq(rest.max_in_flight(start),
                 std::numeric_limits<std::uint32_t>::max());
}

Test(upstream_rest, requested_time_is_kept_whole)
{
    upstream_rest rest;
    cr_expect(rest.request(3s, start, test_random));
    cr_expect(rest.is_resting(start + 3s - 1ns));
    cr_expect_eq(rest.max_in_flight(start + 2999ms), 0U);
    cr_expect_not(rest.is_resting(start + 3s + 750ms));
}

// Guards against a short rest that replaces the rest of a longer one.
Test(upstream_rest, shorter_request_does_not_shorten_the_rest)
{
    upstream_rest rest;
    rest.request(10s, start, test_random);
    cr_expect_not(rest.request(1s, start + 1s, test_random));
    cr_expect(rest.is_resting(start + 9s));
}

Test(upstream_rest, longer_request_extends_the_rest)
{
    upstream_rest rest;
    rest.request(1s, start, test_random);
    cr_expect(rest.request(10s, start + 500ms, test_random));
    cr_expect(rest.is_resting(start + 10s));
}

// Guards against an upstream that is lost for good by an absurd request.
Test(upstream_rest, endless_request_is_bounded)
{
    upstream_rest rest;
    rest.request(24h, start, test_random);
    cr_expect(rest.is_resting(start + 59min));
    cr_expect_not(rest.is_resting(start + 1h + 2s));
}

Test(upstream_rest, request_for_no_time_changes_nothing)
{
    upstream_rest rest;
    cr_expect_not(rest.request(0s, start, test_random));
    cr_expect_not(rest.is_resting(start));
}

// Guards against hosts that end a common rest in the same instant.
Test(upstream_rest, ends_differ_between_hosts)
{
    upstream_rest one;
    upstream_rest other;
    policy::generator other_random(8);
    one.request(3s, start, test_random);
    other.request(3s, start, other_random);
    cr_expect_neq(one.remaining(start).count(), other.remaining(start).count());
}

// Guards against a wave of requests at the end of a rest.
Test(upstream_rest, bound_grows_by_one_with_each_answer_after_the_rest)
{
    upstream_rest rest;
    rest.request(1s, start, test_random);
    rest.record_answer(3, start + 500ms);
    instant const after = start + 2s;
    cr_expect_eq(rest.max_in_flight(after), 1U,
                 "answers during the rest do not count");
    rest.record_answer(3, after);
    cr_expect_eq(rest.max_in_flight(after), 2U);
    rest.record_answer(3, after);
    cr_expect_eq(rest.max_in_flight(after), 3U);
    rest.record_answer(3, after);
    cr_expect_eq(rest.max_in_flight(after),
                 std::numeric_limits<std::uint32_t>::max());
}
