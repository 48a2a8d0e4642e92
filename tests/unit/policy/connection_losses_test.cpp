#include "bilberrylead/policy/connection_losses.hpp"

#include <criterion/criterion.h>

#include <chrono>

using namespace bilberrylead;
using namespace std::chrono_literals;
using policy::connection_loss_action;
using policy::connection_losses;

namespace
{

instant const start = instant{} + 1h;
upstream_id const upstream("u1");

} // namespace

Test(connection_losses, requests_of_an_upstream_that_ended_are_returned_once)
{
    connection_losses losses;
    cr_expect(losses.record_loss(upstream, {1, start}, start) ==
              connection_loss_action::probe);
    cr_expect(losses.record_loss(upstream, {2, start}, start) ==
              connection_loss_action::wait);
    cr_expect_eq(losses.unresolved().size(), 1U);
    cr_expect(losses.record_ended(upstream, start) ==
              (std::vector<policy::lost_request>{{1, start}, {2, start}}));
    cr_expect(losses.record_ended(upstream, start).empty());
    cr_expect(losses.record_loss(upstream, {3, start}, start) ==
              connection_loss_action::upstream_ended);
    cr_expect(losses.unresolved().empty());
}

// Guards against counting reset connections as crashes.
Test(connection_losses, requests_of_a_reset_connection_are_discarded)
{
    connection_losses losses;
    losses.record_loss(upstream, {1, start}, start);
    bool is_responsive = false;
    for (int probe = 0; probe < 5; ++probe)
    {
        cr_expect_not(is_responsive);
        is_responsive = losses.record_accepted(upstream, start);
    }
    cr_expect(is_responsive);
    cr_expect(losses.record_ended(upstream, start).empty());
    losses.record_loss(upstream, {1, start}, start);
    losses.expire(start + 1min);
    cr_expect(losses.record_ended(upstream, start + 1min).empty());
}

// Guards against a loss that is discarded because the listener of the ended
// process still accepted a connection.
Test(connection_losses, accepted_connection_is_followed_by_further_probes)
{
    connection_losses losses;
    losses.record_loss(upstream, {1, start}, start);
    cr_expect_not(losses.record_accepted(upstream, start));
    cr_expect(losses.take_due_probes(start + 49ms).empty());
    cr_expect_eq(losses.take_due_probes(start + 50ms).size(), 1U);
    cr_expect(losses.take_due_probes(start + 50ms).empty(),
              "one probe at a time");
    cr_expect_not(losses.record_accepted(upstream, start + 50ms));
    cr_expect(losses.take_due_probes(start + 149ms).empty());
    cr_expect_eq(losses.take_due_probes(start + 150ms).size(), 1U);
    cr_expect(losses.record_ended(upstream, start + 150ms) ==
              (std::vector<policy::lost_request>{{1, start}}));
}

Test(connection_losses, only_an_answer_to_a_later_request_is_a_sign_of_life)
{
    connection_losses losses;
    losses.record_loss(upstream, {1, start}, start);
    cr_expect_not(losses.record_answer(upstream, start - 1ms));
    cr_expect_eq(losses.unresolved().size(), 1U);
    cr_expect(losses.record_answer(upstream, start + 1ms));
    cr_expect(losses.record_ended(upstream, start + 1ms).empty());
}

// Guards against a reset connection of the next incarnation that counts as a
// crash because the one before ended.
Test(connection_losses, loss_of_a_later_request_is_one_of_its_own)
{
    connection_losses losses;
    losses.record_loss(upstream, {1, start}, start);
    losses.record_ended(upstream, start + 1s);
    cr_expect(losses.record_loss(upstream, {2, start + 1s}, start + 2s) ==
              connection_loss_action::upstream_ended);
    cr_expect(losses.record_loss(upstream, {3, start + 3s}, start + 4s) ==
              connection_loss_action::probe);
    cr_expect(losses.lost_at(upstream) == start + 4s);
    cr_expect(losses.record_ended(upstream, start + 4s) ==
              (std::vector<policy::lost_request>{{3, start + 3s}}));
}
