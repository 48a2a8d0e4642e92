#include "bilberrylead/policy/upstream_contact.hpp"

#include <criterion/criterion.h>

#include <chrono>
#include <string>

using namespace bilberrylead;
using namespace std::chrono_literals;
using policy::contact_change;
using policy::upstream_contact;

namespace
{

instant const start = instant{} + 1h;

upstream_id upstream(int number)
{
    return upstream_id("u" + std::to_string(number));
}

zone_id zone(int number)
{
    return zone_id("z" + std::to_string(number % 3));
}

/// Contact to 18 upstreams in three zones.
struct contact_to_three_zones : upstream_contact
{
    contact_to_three_zones()
    {
        this->configure(18, 3);
    }

    void fail(int first, int last, instant now = start)
    {
        for (int number = first; number <= last; ++number)
        {
            this->record_failed(upstream(number), zone(number), now);
        }
    }
};

} // namespace

Test(upstream_contact, failures_of_probed_upstreams_too_lose_the_contact)
{
    contact_to_three_zones contact;
    contact.fail(1, 3);
    cr_expect(contact.record_failed(upstream(4), zone(4), start) ==
              contact_change::suspected);
    cr_expect_not(contact.is_lost());
    cr_expect(contact.verify({upstream(7), upstream(8)}) ==
              contact_change::none);
    contact.fail(7, 7);
    cr_expect_not(contact.is_lost());
    cr_expect(contact.record_failed(upstream(8), zone(8), start) ==
              contact_change::lost);
    cr_expect(contact.is_lost());
}

// Guards against several upstreams that end at the same moment and are taken
// for the host's own way.
Test(upstream_contact, probed_upstream_that_accepts_ends_the_suspicion)
{
    contact_to_three_zones contact;
    contact.fail(1, 4);
    contact.verify({upstream(7), upstream(8)});
    contact.fail(7, 7);
    cr_expect(contact.record_accepted(upstream(8)) == contact_change::none);
    contact.fail(5, 6);
    cr_expect_not(contact.is_lost());
}

// Guards against a zone of upstreams that is gone and is taken for the host's
// own way.
Test(upstream_contact, failures_in_one_zone_do_not_lose_it)
{
    contact_to_three_zones contact;
    for (int number = 0; number < 18; ++number)
    {
        contact.record_failed(upstream(number), zone(0), start);
    }
    cr_expect_not(contact.is_lost());
}

// Guards against a few upstreams that fail again and again among sound ones.
Test(upstream_contact, accepted_connection_in_between_keeps_it)
{
    contact_to_three_zones contact;
    for (int round = 0; round < 20; ++round)
    {
        contact.fail(1, 3);
        contact.record_accepted(upstream(9));
    }
    cr_expect_not(contact.is_lost());
}

Test(upstream_contact, repeated_failures_of_one_upstream_do_not_lose_it)
{
    contact_to_three_zones contact;
    for (int round = 0; round < 20; ++round)
    {
        contact.fail(1, 2);
    }
    cr_expect_not(contact.is_lost());
}

Test(upstream_contact, old_failures_do_not_count)
{
    contact_to_three_zones contact;
    contact.fail(1, 3);
    contact.fail(4, 4, start + 3s);
    cr_expect_not(contact.is_lost());
}

// Guards against a partition that flaps: one connection that is accepted in
// between does not send all requests over the lost way again.
Test(upstream_contact, contact_returns_with_two_accepting_upstreams)
{
    contact_to_three_zones contact;
    contact.fail(1, 4);
    contact.verify({});
    cr_assert(contact.is_lost());
    contact.record_accepted(upstream(1));
    contact.fail(2, 2);
    contact.record_accepted(upstream(3));
    contact.record_accepted(upstream(3));
    cr_expect(contact.is_lost());
    cr_expect(contact.record_accepted(upstream(5)) == contact_change::restored);
    cr_expect_not(contact.is_lost());
}

Test(upstream_contact, all_upstreams_suffice_where_there_are_few)
{
    upstream_contact contact;
    contact.configure(2, 1);
    cr_expect(contact.record_failed(upstream(1), zone(1), start) ==
              contact_change::none);
    cr_expect(contact.record_failed(upstream(2), zone(1), start) ==
              contact_change::suspected);
    cr_expect(contact.verify({}) == contact_change::lost);
}

// Guards against the end of a single upstream that is taken for the host's own
// way.
Test(upstream_contact, single_upstream_never_loses_it)
{
    upstream_contact contact;
    contact.configure(1, 1);
    cr_expect(contact.record_failed(upstream(1), zone(1), start) ==
              contact_change::none);
}
