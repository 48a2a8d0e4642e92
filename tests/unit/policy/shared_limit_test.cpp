#include "bilberrylead/policy/shared_limit.hpp"

#include "bilberrylead/policy/generator.hpp"

#include <criterion/criterion.h>

#include <chrono>

using namespace bilberrylead;
using namespace std::chrono_literals;
using policy::shared_limit;

namespace
{

instant const start = instant{} + 1h;
host_id const other("e2");

/// Number of requests that one host sends within `time` if it sends one
/// whenever it may.
int sent_within(shared_limit& limit, duration time, instant from)
{
    policy::generator random(1);
    int sent = 0;
    for (instant now = from; now < from + time; now += 10ms)
    {
        if (limit.has_token(now))
        {
            limit.consume(now, random);
            ++sent;
        }
    }
    return sent;
}

} // namespace

Test(shared_limit, without_a_limit_every_request_is_sent)
{
    shared_limit limit;
    cr_expect(limit.has_token(start));
    cr_expect_eq(limit.until_token(start).count(), 0);
    limit.observe(std::nullopt, start);
    cr_expect(limit.has_token(start));
}

Test(shared_limit, requests_are_sent_at_the_limit)
{
    shared_limit limit;
    cr_expect(limit.observe(2.0, start));
    cr_expect_not(limit.observe(2.0, start));
    int const sent = sent_within(limit, 20s, start);
    cr_expect_leq(sent, 40);
    cr_expect_geq(sent, 36);
}

Test(shared_limit, requests_of_other_hosts_count)
{
    policy::generator random(1);
    shared_limit limit;
    limit.observe(2.0, start);
    limit.record_peer_sent(other, 5, start, random);
    cr_expect_not(limit.has_token(start + 500ms));
    // A repeated report of the same total counts once.
    for (int time = 0; time < 10; ++time)
    {
        limit.record_peer_sent(other, 5, start + 1s, random);
    }
    cr_expect(limit.has_token(start + 3s));
    limit.record_peer_sent(other, 9, start + 3s, random);
    cr_expect_not(limit.has_token(start + 3990ms));
    cr_expect(limit.has_token(start + 4010ms));
}

// Guards against a late update that restores a limit that has ended.
Test(shared_limit, older_limit_changes_nothing)
{
    shared_limit limit;
    limit.observe(std::nullopt, start + 1s);
    cr_expect_not(limit.observe(2.0, start));
    cr_expect(limit.has_token(start + 1s));
}

Test(shared_limit, unconfirmed_limit_expires)
{
    shared_limit limit;
    limit.observe(2.0, start);
    cr_expect_not(limit.has_token(start));
    cr_expect(limit.has_token(start + 10min));
    cr_expect_not(limit.is_in_force(start + 10min));
}

// Guards against a limit of 0 whose end no host would receive.
Test(shared_limit, limit_of_zero_lets_few_requests_through)
{
    shared_limit limit;
    limit.observe(0.0, start);
    int const sent = sent_within(limit, 20s, start);
    cr_expect_geq(sent, 2);
    cr_expect_leq(sent, 5);
    cr_expect_gt(limit.until_token(start + 19s).count(), 0);
}
