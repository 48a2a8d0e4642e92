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

/// An entry that states when it started.
listed_upstream started(std::string const& id, int at, bool leaving = false)
{
    listed_upstream made = entry(id, leaving);
    made.started_at = wall_time(std::chrono::milliseconds(at));
    return made;
}

/// A listing that has been read once, and the incarnation of "a" in it.
struct read_listing : upstream_listing
{
    explicit read_listing(listed_upstream const& first)
    {
        this->apply_reading({entry("b")}, 3, start);
        this->apply_reading({first, entry("b")}, 3, start);
        this->before = this->incarnation();
    }

    discovery::list_position incarnation() const
    {
        return this->upstreams().at(upstream_id("a")).incarnation;
    }

    /// Reads it without "a".
    void read_without(int times, bool is_whole = true)
    {
        for (int count = 0; count < times; ++count)
        {
            this->apply_reading({entry("b")}, 3, start, is_whole);
        }
    }

    /// True if a reading of that entry shows a later incarnation.
    bool shows_restart(listed_upstream const& found, std::uint64_t term = 3)
    {
        this->apply_reading({found, entry("b")}, term, start);
        return this->incarnation() > this->before;
    }

    discovery::list_position before;
};

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

// Guards against an upstream that is held back, or refused to, for what its
// last incarnation was.
Test(upstream_listing, later_incarnation_under_the_same_id_is_greater)
{
    read_listing after_leaving(entry("a", true));
    cr_expect(after_leaving.shows_restart(entry("a")));
    read_listing after_leaving_and_gap(entry("a", true));
    after_leaving_and_gap.read_without(1);
    cr_expect(after_leaving_and_gap.shows_restart(entry("a")));
    read_listing after_gap(entry("a"));
    after_gap.read_without(2);
    cr_expect(after_gap.shows_restart(entry("a")));
    read_listing moved(entry("a"));
    listed_upstream elsewhere = entry("a");
    elsewhere.upstream.address.port = 81;
    cr_expect(moved.shows_restart(elsewhere));
    read_listing started_again(started("a", 1));
    cr_expect(started_again.shows_restart(started("a", 2)));
    read_listing leaves_at_once(started("a", 1));
    leaves_at_once.apply_leaving({started("a", 2, true)}, 3, start);
    cr_expect(leaves_at_once.incarnation() > leaves_at_once.before);
}

// Guards against discarding what is known of an upstream that has not
// restarted.
Test(upstream_listing, same_incarnation_keeps_its_number)
{
    read_listing leaving(entry("a"));
    cr_expect_not(leaving.shows_restart(entry("a", true)));
    read_listing missed_once(entry("a"));
    missed_once.read_without(1);
    cr_expect_not(missed_once.shows_restart(entry("a")));
    read_listing unreadable(entry("a"));
    unreadable.read_without(5, false);
    cr_expect_not(unreadable.shows_restart(entry("a")));
    read_listing same_start(started("a", 1, true));
    same_start.read_without(5);
    cr_expect_not(same_start.shows_restart(started("a", 1)));
    read_listing other_term(entry("a"));
    cr_expect_not(other_term.shows_restart(entry("a"), 4));
}

// Guards against hosts that miss the listings between two incarnations, and
// against a new leader that has not read the one before.
Test(upstream_listing, incarnation_is_handed_on)
{
    read_listing leader(entry("a", true));
    upstream_listing next_leader;
    upstream_listing host;
    next_leader.apply(leader.full_listing(start), start);
    host.apply(leader.full_listing(start), start);
    leader.read_without(1);
    next_leader.apply(leader.full_listing(start), start);
    next_leader.apply_reading({entry("a"), entry("b")}, 4, start);
    host.apply(next_leader.full_listing(start), start);
    upstream_id const id("a");
    cr_expect(host.upstreams().at(id).incarnation > leader.before);
    cr_expect(host.upstreams().at(upstream_id("b")).incarnation ==
              leader.upstreams().at(upstream_id("b")).incarnation);
}

// Guards against a leader without a listing to which all upstreams seem to have
// restarted at once.
Test(upstream_listing, first_listing_of_all_shows_no_incarnations)
{
    upstream_listing listing;
    listing.apply_reading({entry("a"), entry("b")}, 9, start);
    for (auto const& [id, each] : listing.upstreams())
    {
        cr_expect(each.incarnation == discovery::list_position{});
    }
}
