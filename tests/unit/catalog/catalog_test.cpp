#include "bilberrylead/catalog/catalog.hpp"

#include <criterion/criterion.h>

#include <chrono>
#include <random>
#include <string>
#include <vector>

using namespace bilberrylead;
using bilberrylead::catalog::audit_entry;
using bilberrylead::catalog::catalog_settings;
using bilberrylead::catalog::change_accepted;
using bilberrylead::catalog::change_already_accepted;
using bilberrylead::catalog::change_command;
using bilberrylead::catalog::change_conflict;
using bilberrylead::catalog::change_id_reused;
using bilberrylead::catalog::change_outcome;
using state = bilberrylead::catalog::catalog;

namespace
{

change_command change_of(std::string const& id, revision base,
                         std::string const& who = "ana",
                         std::string const& document = "{}")
{
    return {change_id(id), base, who,
            wall_time(std::chrono::milliseconds(1'000)),
            bytes(document.begin(), document.end())};
}

struct race_row
{
    char const* name;
    std::vector<change_command> before;
    change_command sent;
    change_outcome outcome;
};

} // namespace

// Two operators start from the same revision, or choose the same change id;
// answers get lost and changes are sent again, perhaps days later. Exactly
// one change takes each revision, every other learns who took it, and a
// resend hears what the first one was told.
Test(catalog, racing_and_resent_changes_get_their_outcome)
{
    change_command const first = change_of("c1", 0);
    std::vector<race_row> const rows = {
        {"first", {}, first, change_accepted{1}},
        {"next", {first}, change_of("c2", 1), change_accepted{2}},
        {"equal base",
         {first},
         change_of("c2", 0, "boris"),
         change_conflict{1, change_id("c1"), "ana"}},
        {"resent", {first}, first, change_already_accepted{1}},
        {"resent after others",
         {first, change_of("c2", 1, "boris")},
         first,
         change_already_accepted{1}},
        {"loser resent after others",
         {first, change_of("c2", 0, "boris"), change_of("c3", 1)},
         change_of("c2", 0, "boris"),
         change_conflict{1, change_id("c1"), "ana"}},
        {"equal id, other operator",
         {first},
         change_of("c1", 0, "boris"),
         change_id_reused{}},
        {"equal id, other document",
         {first},
         change_of("c1", 0, "ana", "{1}"),
         change_id_reused{}},
        {"equal id, later base",
         {first},
         change_of("c1", 1),
         change_id_reused{}},
        {"first again after a reuse",
         {first, change_of("c1", 0, "boris")},
         first,
         change_already_accepted{1}},
        {"old base",
         {first, change_of("c2", 1, "boris"), change_of("c3", 2)},
         change_of("c4", 1, "cyd"),
         change_conflict{3, change_id("c2"), "boris"}},
        {"base not reached",
         {first},
         change_of("c2", 7),
         change_conflict{1, change_id(), ""}},
        {"base was not reached, resent once it is",
         {change_of("c2", 1), first},
         change_of("c2", 1),
         change_conflict{0, change_id(), ""}},
    };
    for (race_row const& row : rows)
    {
        state catalog;
        for (change_command const& command : row.before)
        {
            catalog.apply(command);
        }
        cr_expect(catalog.apply(row.sent) == row.outcome, "%s", row.name);
    }
}

Test(catalog, trail_after_a_race_tells_who_did_what_with_which_result)
{
    state catalog;
    catalog.apply(change_of("c1", 0, "ana", "{1}"));
    catalog.apply(change_of("c2", 0, "boris", "{22}"));
    catalog.apply(change_of("c1", 0, "ana", "{1}"));
    cr_assert_eq(catalog.audit_trail().size(), 2);
    audit_entry const& lost = catalog.audit_trail().back();
    cr_assert_eq(lost.number, 2);
    cr_assert_eq(lost.operator_name, "boris");
    cr_assert_eq(lost.document_bytes, 4);
    cr_assert_eq(lost.base_revision, 0);
    cr_assert(lost.accepted_at == wall_time(std::chrono::milliseconds(1'000)));
    cr_assert(std::get<change_conflict>(lost.result).winner == change_id("c1"));
}

Test(catalog, old_revisions_when_over_the_bounds_go_and_the_latest_stays)
{
    state catalog({.audit_window = 10, .kept_revisions = 3, .kept_bytes = 20});
    for (revision base = 0; base < 5; ++base)
    {
        catalog.apply(change_of("c" + std::to_string(base), base));
    }
    cr_assert_eq(catalog.current_revision(), 5);
    cr_assert_null(catalog.find(2));
    cr_assert_not_null(catalog.find(3));
    cr_assert_null(catalog.find(6));
    std::string const large(100, ' ');
    catalog.apply(change_of("large", 5, "ana", large));
    cr_assert_null(catalog.find(5));
    cr_assert_eq(catalog.current()->document.size(), 100);
}

// The trail is full and the oldest change's first answer is forgotten. Its
// resend must not be accepted a second time.
Test(catalog, forgotten_change_when_resent_conflicts)
{
    state catalog({.audit_window = 2, .kept_revisions = 3, .kept_bytes = 99});
    change_command const first = change_of("c1", 0);
    catalog.apply(first);
    catalog.apply(change_of("c2", 1));
    catalog.apply(change_of("c3", 2));
    cr_assert(std::holds_alternative<change_conflict>(catalog.apply(first)));
    cr_assert_eq(catalog.current_revision(), 3);
    cr_assert_eq(catalog.audit_trail().size(), 2);
}

// A replica restarts from a snapshot at any point of a long series of races
// with a short trail. It must go on exactly like one that never stopped: a
// difference shows as two operators who both won.
Test(catalog, restored_replica_when_it_goes_on_equals_one_that_never_stopped)
{
    catalog_settings const bounds{
        .audit_window = 5, .kept_revisions = 2, .kept_bytes = 64};
    for (unsigned seed = 1; seed <= 200; ++seed)
    {
        std::mt19937_64 random(seed);
        state steady(bounds);
        state restarted(bounds);
        for (int step = 0; step < 200; ++step)
        {
            revision const base =
                steady.current_revision() -
                std::min<revision>(random() % 3, steady.current_revision());
            change_command const command =
                change_of("c" + std::to_string(random() % 12), base,
                          random() % 2 == 0 ? "ana" : "boris");
            change_outcome const outcome = steady.apply(command);
            cr_assert(restarted.apply(command) == outcome, "seed %u step %d",
                      seed, step);
            absl::StatusOr<state> decoded =
                state::decode(bounds, restarted.encode());
            cr_assert(decoded.ok(), "seed %u step %d", seed, step);
            restarted = *std::move(decoded);
        }
        cr_assert(steady.encode() == restarted.encode(), "seed %u", seed);
    }
}
