#include "bilberrylead/once/once_records.hpp"

#include "tests/unit/once/once_fixture.hpp"

#include <criterion/criterion.h>

#include <chrono>
#include <map>
#include <random>
#include <string>
#include <variant>
#include <vector>

using namespace bilberrylead;
using namespace bilberrylead::once;
using namespace bilberrylead::tests;
using namespace std::chrono_literals;

namespace
{

constexpr unsigned seeds = 300;
constexpr int commands_per_seed = 400;

once_settings tight_bounds()
{
    return {.retention = 40s,
            .spent_retention = 64s,
            .max_run_time = 15s,
            .max_records = 9,
            .max_records_per_caller = 9,
            .max_spent_keys = 6,
            .max_total_answer_bytes = 60,
            .max_answer_body_bytes = 8,
            .max_name_bytes = 16};
}

once_command random_command(std::mt19937_64& random)
{
    std::uint64_t const draw = random() % 16;
    std::string const key = std::to_string(random() % 12);
    std::string const request = "r" + std::to_string(random() % 8);
    if (draw < 6)
    {
        return claim_of(key, request, "e" + std::to_string(random() % 3),
                        1 + random() % 4, random() % 8 == 0 ? 8 : 7);
    }
    if (draw < 9)
    {
        complete done = complete_of(key, request);
        done.answer.status = static_cast<std::uint16_t>(200 + random() % 9);
        return done;
    }
    if (draw < 11)
    {
        return release_of(key, request);
    }
    if (draw < 12)
    {
        return unknown_of(key, request);
    }
    if (draw < 13)
    {
        return register_entry_host{host_id("e" + std::to_string(random() % 3)),
                                   1 + random() % 4};
    }
    return advance_time{std::chrono::milliseconds(random() % 12'000)};
}

/// Checks the guarantees that callers rely on: which request was granted a
/// key, until when no other request may be granted it, and which answer was
/// returned.
struct grant_checker
{
    struct grant_state
    {
        request_id holder;
        duration until{};
        std::optional<recorded_answer> answer;
    };

    std::map<claim_key, grant_state> grants;
    once_settings bounds = tight_bounds();

    void check(once_records const& records, claim const& command,
               claim_verdict const& verdict, unsigned seed)
    {
        duration const now = records.log_time();
        auto const found = this->grants.find(command.key);
        bool const is_valid =
            found != this->grants.end() && found->second.until > now;
        if (is<claim_granted>(verdict))
        {
            cr_assert(!is_valid || found->second.holder == command.request,
                      "seed %u: granted twice", seed);
            cr_assert(!is_valid || !found->second.answer.has_value(),
                      "seed %u: granted after its answer", seed);
            // The shortest time for which the record can live from now on.
            this->grants[command.key] = {command.request,
                                         now + this->bounds.retention +
                                             this->bounds.spent_retention,
                                         std::nullopt};
        }
        claim_recorded const* const recorded =
            std::get_if<claim_recorded>(&verdict);
        if (recorded != nullptr)
        {
            cr_assert(found != this->grants.end(), "seed %u", seed);
            cr_assert(!found->second.answer.has_value() ||
                          *found->second.answer == recorded->answer,
                      "seed %u: the answer changed", seed);
            found->second.answer = recorded->answer;
        }
    }

    void check(release const& command, settle_result result)
    {
        if (result == settle_result::done)
        {
            this->grants.erase(command.key);
        }
    }
};

void apply_checked(once_records& records, once_command const& command,
                   grant_checker& checker, unsigned seed)
{
    if (claim const* claim_command = std::get_if<claim>(&command))
    {
        checker.check(records, *claim_command, records.apply(*claim_command),
                      seed);
        return;
    }
    if (release const* release_command = std::get_if<release>(&command))
    {
        checker.check(*release_command, records.apply(*release_command));
        return;
    }
    std::visit(
        [&records](auto const& alternative)
        {
            records.apply(alternative);
        },
        command);
}

} // namespace

// Requests, restarts, late and duplicated commands in random order. The bounds
// are so small that records fill up and expire. In every sequence a key is
// granted to one request until it is released or expires, its answer never
// changes, and a replica that is repeatedly restored from a snapshot ends in a
// state that is equal byte by byte.
Test(once_records, random_commands_keep_every_guarantee_on_every_replica)
{
    for (unsigned seed = 1; seed <= seeds; ++seed)
    {
        std::mt19937_64 random(seed);
        once_records records(tight_bounds());
        once_records replica(tight_bounds());
        grant_checker checker;
        for (int step = 0; step < commands_per_seed; ++step)
        {
            once_command const command = random_command(random);
            apply_checked(records, command, checker, seed);
            std::visit(
                [&replica](auto const& alternative)
                {
                    replica.apply(alternative);
                },
                command);
            cr_assert_leq(records.size(), tight_bounds().max_records);
            cr_assert_leq(records.spent_size(), tight_bounds().max_spent_keys);
            cr_assert_leq(records.answer_bytes(),
                          tight_bounds().max_total_answer_bytes);
            if (step % 50 == 49)
            {
                absl::StatusOr<once_records> restored =
                    once_records::decode(tight_bounds(), replica.encode());
                cr_assert(restored.ok(), "seed %u", seed);
                replica = *std::move(restored);
            }
        }
        cr_assert(records.encode() == replica.encode(), "seed %u", seed);
    }
}

Test(once_records, snapshot_when_cut_or_of_other_bounds_is_refused)
{
    once_records records(tight_bounds());
    records.apply(claim_of("k", "r1"));
    records.apply(complete_of("k", "r1"));
    records.apply(register_entry_host{host_id("e1"), 3});
    advance_log_time(records, 41s);
    records.apply(claim_of("q", "r1", "e2"));
    cr_assert_eq(records.spent_size(), 1);
    bytes const snapshot = records.encode();
    for (std::size_t size = 0; size < snapshot.size(); ++size)
    {
        bytes const cut(snapshot.begin(),
                        snapshot.begin() + static_cast<std::ptrdiff_t>(size));
        cr_assert_not(once_records::decode(tight_bounds(), cut).ok());
    }
    cr_assert_not(once_records::decode(once_settings(), snapshot).ok());
    cr_assert(once_records::decode(tight_bounds(), snapshot).ok());
}
