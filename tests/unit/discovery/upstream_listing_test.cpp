#include "bilberrylead/discovery/upstream_listing.hpp"

#include <criterion/criterion.h>

#include <chrono>
#include <string>
#include <vector>

using namespace bilberrylead;
using namespace std::chrono_literals;
using discovery::apply_result;
using discovery::list_changes;
using discovery::listed_upstream;
using discovery::upstream_listing;

namespace
{

instant const start = instant{} + 1h;

listed_upstream entry(std::string const& id, bool leaving = false,
                      instant cold_until = {})
{
    listed_upstream made;
    made.upstream.id = upstream_id(id);
    made.upstream.service = service_id("s");
    made.upstream.zone = zone_id("z");
    made.upstream.address = {"127.0.0.1", 80};
    made.upstream.leaving = leaving;
    made.cold_until = cold_until;
    return made;
}

} // namespace

Test(upstream_listing, unchanged_reading_produces_no_changes)
{
    upstream_listing listing;
    cr_assert(listing.apply_reading({entry("a")}, 3, start).has_value());
    cr_expect_not(
        listing.apply_reading({entry("a")}, 3, start + 1s).has_value());
    discovery::list_position const first{3, 1};
    cr_expect(listing.position() == first);
}

Test(upstream_listing, reading_produces_only_the_differences)
{
    upstream_listing listing;
    listing.apply_reading({entry("a"), entry("b"), entry("c")}, 3, start);
    std::optional<list_changes> const changes = listing.apply_reading(
        {entry("a"), entry("b", true), entry("d")}, 3, start);
    cr_assert(changes.has_value());
    cr_expect_eq(changes->put.size(), 2U);
    cr_assert_eq(changes->removed.size(), 1U);
    cr_expect(changes->removed.front() == upstream_id("c"));
}

// The remaining cold time decreases between two readings. This must not count
// as a change, or every reading would be sent to every entry host.
Test(upstream_listing, decreasing_cold_time_is_not_a_change)
{
    upstream_listing listing;
    listing.apply_reading({entry("a", false, start + 3s)}, 3, start);
    cr_expect_not(listing
                      .apply_reading({entry("a", false, start + 3s + 100ms)}, 3,
                                     start + 1s)
                      .has_value());
    cr_expect(
        listing.apply_reading({entry("a", false, start + 9s)}, 3, start + 2s)
            .has_value());
}

// A leader is frozen while another one takes over and reads the list. When it
// resumes it still sends its own listing, of the older term.
Test(upstream_listing, changes_from_a_replaced_leader_are_rejected)
{
    upstream_listing old_reader;
    list_changes const old_changes =
        *old_reader.apply_reading({entry("gone")}, 3, start);
    upstream_listing new_reader;
    list_changes const changes =
        *new_reader.apply_reading({entry("a")}, 4, start);

    upstream_listing held;
    cr_assert(held.apply(changes, start) == apply_result::applied);
    cr_expect(held.apply(old_changes, start) == apply_result::not_newer);
    cr_expect(held.apply(old_reader.full_listing(start), start) ==
              apply_result::not_newer);
    cr_expect(held.upstreams().contains(upstream_id("a")));
}

// A delta is lost because its link closes. The next one has a base that the
// receiver does not hold, and must not be applied to the older listing.
Test(upstream_listing, delta_with_another_base_requires_the_full_listing)
{
    upstream_listing reader;
    upstream_listing held;
    cr_assert(held.apply(*reader.apply_reading({entry("a")}, 3, start),
                         start) == apply_result::applied);
    reader.apply_reading({entry("a"), entry("b")}, 3, start);
    list_changes const third =
        *reader.apply_reading({entry("a"), entry("b"), entry("c")}, 3, start);
    cr_expect(held.apply(third, start) == apply_result::base_mismatch);
    cr_expect_eq(held.upstreams().size(), 1U);
    cr_expect(held.apply(reader.full_listing(start), start) ==
              apply_result::applied);
    cr_expect_eq(held.upstreams().size(), 3U);
    cr_expect(held.position() == reader.position());
}

// Guards against requests that reach an upstream seconds after it was listed
// as leaving. Its page was read at once, but the later pages took long, and no
// changes were sent before the last page had arrived.
Test(upstream_listing, leaving_upstream_is_published_before_the_reading_ends)
{
    upstream_listing listing;
    listing.apply_reading({entry("a"), entry("b")}, 3, start);
    upstream_listing follower;
    follower.apply(listing.full_listing(start), start);
    std::optional<list_changes> const early =
        listing.apply_leaving({entry("a", true)}, 3, start);
    cr_assert(early.has_value());
    cr_expect_eq(early->put.size(), 1U);
    cr_expect(early->removed.empty(), "the rest was not read yet");
    cr_expect(follower.apply(*early, start) == apply_result::applied);
    cr_expect(follower.upstreams().at(upstream_id("a")).upstream.leaving);
    cr_expect_eq(follower.upstreams().size(), 2U);
    cr_expect_not(
        listing.apply_leaving({entry("a", true)}, 3, start).has_value());
    cr_expect_not(
        listing.apply_reading({entry("a", true), entry("b")}, 3, start)
            .has_value(),
        "already sent");
}

Test(upstream_listing, partial_reading_adds_no_upstream_and_only_marks_leaving)
{
    upstream_listing listing;
    listing.apply_reading({entry("a")}, 3, start);
    cr_expect_not(
        listing.apply_leaving({entry("a"), entry("b", true)}, 3, start)
            .has_value());
}

// A new leader has not completed a reading in its term, so its followers may
// hold another listing.
Test(upstream_listing, partial_reading_in_a_new_term_is_ignored)
{
    upstream_listing listing;
    listing.apply_reading({entry("a")}, 3, start);
    cr_expect_not(
        listing.apply_leaving({entry("a", true)}, 4, start).has_value());
}

// Guards against a host that fell behind on a full link and whose link is
// filled further by a full listing.
Test(upstream_listing, host_that_is_behind_receives_only_the_differences)
{
    upstream_listing source;
    source.apply_reading({entry("a"), entry("b"), entry("c"), entry("d")}, 3,
                         start);
    upstream_listing behind;
    behind.apply(source.full_listing(start), start);
    source.apply_reading({entry("a"), entry("b"), entry("d")}, 3, start + 1s);
    source.apply_leaving({entry("b", true)}, 3, start + 2s);

    list_changes const changes =
        source.changes_since(behind.position(), start + 2s);
    cr_expect_not(changes.is_full);
    cr_expect_eq(changes.put.size(), 1U);
    cr_expect_eq(changes.removed.size(), 1U);
    cr_assert(behind.apply(changes, start + 2s) == apply_result::applied);
    cr_expect(behind.position() == source.position());
    cr_expect_not(behind.upstreams().contains(upstream_id("c")));
    cr_expect(behind.upstreams().at(upstream_id("b")).upstream.leaving);
}

// A follower that becomes the leader continues from the listing that it
// received, and hosts may still hold an earlier one.
Test(upstream_listing, differences_span_a_change_of_leader)
{
    upstream_listing old_reader;
    old_reader.apply_reading({entry("a"), entry("b"), entry("c"), entry("d")},
                             3, start);
    upstream_listing behind;
    upstream_listing new_reader;
    behind.apply(old_reader.full_listing(start), start);
    new_reader.apply(old_reader.full_listing(start), start);
    new_reader.apply(
        *old_reader.apply_reading(
            {entry("a"), entry("b", true), entry("c"), entry("d")}, 3, start),
        start);
    new_reader.apply_reading({entry("a"), entry("b", true), entry("d")}, 4,
                             start);

    list_changes const changes =
        new_reader.changes_since(behind.position(), start);
    cr_expect_not(changes.is_full);
    cr_expect_eq(changes.put.size(), 1U);
    cr_expect_eq(changes.removed.size(), 1U);
    cr_expect(behind.apply(changes, start) == apply_result::applied);
}

Test(upstream_listing, host_with_an_unknown_listing_receives_the_full_one)
{
    upstream_listing source;
    source.apply_reading({entry("a")}, 3, start);
    source.apply_reading({entry("a"), entry("b")}, 3, start);
    cr_expect(source.changes_since({2, 7}, start).is_full);
    cr_expect(source.changes_since({}, start).is_full);
}

// Guards against differences without bound, in memory and in messages.
Test(upstream_listing, host_that_is_far_behind_receives_the_full_listing)
{
    upstream_listing source;
    source.apply_reading({entry("a"), entry("b"), entry("c")}, 3, start);
    discovery::list_position const held = source.position();
    for (int reading = 0; reading < 100; ++reading)
    {
        source.apply_reading(
            {entry("a", reading % 2 == 0), entry("b"), entry("c")}, 3, start);
    }
    cr_expect(source.changes_since(held, start).is_full);
}
