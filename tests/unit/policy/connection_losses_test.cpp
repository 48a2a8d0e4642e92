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
    cr_expect(losses.record_loss(upstream, 1, start) ==
              connection_loss_action::probe);
    cr_expect(losses.record_loss(upstream, 2, start) ==
              connection_loss_action::wait);
    cr_expect_eq(losses.unresolved().size(), 1U);
    cr_expect(losses.record_ended(upstream, start) ==
              (std::vector<std::uint64_t>{1, 2}));
    cr_expect(losses.record_ended(upstream, start).empty());
    cr_expect(losses.record_loss(upstream, 3, start) ==
              connection_loss_action::upstream_ended);
    cr_expect(losses.unresolved().empty());
}

// Guards against counting reset connections as crashes.
Test(connection_losses, requests_of_a_reset_connection_are_discarded)
{
    connection_losses losses;
    losses.record_loss(upstream, 1, start);
    losses.record_responsive(upstream);
    cr_expect(losses.record_ended(upstream, start).empty());
    losses.record_loss(upstream, 1, start);
    losses.expire(start + 1min);
    cr_expect(losses.record_ended(upstream, start + 1min).empty());
}
