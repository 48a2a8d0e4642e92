#include "bilberrylead/policy/upstream_losses.hpp"

#include <criterion/criterion.h>

#include <chrono>

using namespace bilberrylead;
using namespace std::chrono_literals;
using policy::loss_step;
using policy::upstream_losses;

namespace
{

instant const start = instant{} + 1h;
upstream_id const upstream("u1");

} // namespace

Test(upstream_losses, requests_of_an_upstream_that_ended_are_named_once)
{
    upstream_losses losses;
    cr_expect(losses.note_loss(upstream, 1, start) == loss_step::probe);
    cr_expect(losses.note_loss(upstream, 2, start) == loss_step::wait);
    cr_expect_eq(losses.open().size(), 1U);
    cr_expect(losses.note_ended(upstream, start) ==
              (std::vector<std::uint64_t>{1, 2}));
    cr_expect(losses.note_ended(upstream, start).empty());
    cr_expect(losses.note_loss(upstream, 3, start) == loss_step::ended);
    cr_expect(losses.open().empty());
}

// Guards against reset connections that are taken for crashes.
Test(upstream_losses, requests_of_a_reset_connection_are_forgotten)
{
    upstream_losses losses;
    losses.note_loss(upstream, 1, start);
    losses.note_alive(upstream);
    cr_expect(losses.note_ended(upstream, start).empty());
    losses.note_loss(upstream, 1, start);
    losses.expire(start + 1min);
    cr_expect(losses.note_ended(upstream, start + 1min).empty());
}
