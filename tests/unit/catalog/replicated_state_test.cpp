#include "bilberrylead/catalog/replicated_state.hpp"

#include "bilberrylead/catalog/replicated_command.hpp"
#include "bilberrylead/core/error.hpp"

#include <criterion/criterion.h>

#include <chrono>
#include <random>
#include <string>
#include <variant>
#include <vector>

using namespace bilberrylead;
using bilberrylead::catalog::change_command;
using bilberrylead::catalog::change_outcome;
using bilberrylead::catalog::decode_command;
using bilberrylead::catalog::encode_command;
using bilberrylead::catalog::replicated_command;
using bilberrylead::catalog::replicated_outcome;
using bilberrylead::catalog::replicated_state;

namespace
{

std::vector<replicated_command> one_of_each()
{
    once::claim_key const key{service_id("grants"), caller_id("acme"), "k\xFF"};
    return {
        change_command{change_id("c1"), 0, "ana",
                       wall_time(std::chrono::milliseconds(-5)),
                       bytes{'{', '}'}},
        once::claim{key, ~std::uint64_t{0}, request_id("r1"), host_id("e1"),
                    ~std::uint64_t{0}},
        once::complete{key, request_id("r1"), {201, "a/b", bytes(3), true}},
        once::release{key, request_id("r2")},
        once::mark_unknown{key, request_id("r3")},
        once::register_entry_host{host_id("e1"), 12},
        once::advance_time{std::chrono::milliseconds(250)},
    };
}

} // namespace

Test(replicated_command, each_kind_when_decoded_is_what_was_encoded)
{
    for (replicated_command const& command : one_of_each())
    {
        absl::StatusOr<replicated_command> const decoded =
            decode_command(encode_command(command));
        cr_assert(decoded.ok() && *decoded == command, "kind %zu",
                  command.index());
    }
}

// A replica reads bytes that are no command: a newer version wrote them, or
// a bit flipped on the way. It must neither die nor differ from the others.
Test(replicated_command, each_kind_when_cut_or_flipped_never_throws)
{
    for (replicated_command const& command : one_of_each())
    {
        bytes const whole = encode_command(command);
        for (std::size_t at = 0; at < whole.size(); ++at)
        {
            bytes const cut(whole.begin(),
                            whole.begin() + static_cast<std::ptrdiff_t>(at));
            cr_expect_not(decode_command(cut).ok());
            for (unsigned bit = 0; bit < 8; ++bit)
            {
                bytes flipped = whole;
                flipped.at(at) ^= static_cast<std::uint8_t>(1U << bit);
                replicated_state state;
                static_cast<void>(state.apply(1, flipped));
            }
        }
    }
}

Test(replicated_state, unreadable_record_when_applied_changes_only_the_index)
{
    replicated_state state;
    replicated_outcome const outcome = state.apply(1, bytes{0xFF, 0x00});
    cr_assert(kind_of(std::get<absl::Status>(outcome)) == error_kind::syntax);
    cr_assert_eq(state.applied_index(), 1);
    cr_assert_eq(state.configurations().current_revision(), 0);

    bytes const change = encode_command(one_of_each().front());
    cr_assert(std::holds_alternative<change_outcome>(state.apply(2, change)));
    cr_assert(std::holds_alternative<absl::Status>(state.apply(2, change)));
    cr_assert_eq(state.configurations().current_revision(), 1);
}

Test(replicated_state, snapshot_and_tail_when_applied_equal_the_whole_log)
{
    for (unsigned seed = 1; seed <= 50; ++seed)
    {
        std::mt19937_64 random(seed);
        std::vector<replicated_command> const kinds = one_of_each();
        replicated_state whole;
        replicated_state resumed;
        std::uint64_t const restart_at = 1 + random() % 200;
        for (std::uint64_t index = 1; index <= 200; ++index)
        {
            replicated_command command = kinds.at(random() % kinds.size());
            if (change_command* change = std::get_if<change_command>(&command))
            {
                change->change = change_id(std::to_string(random() % 50));
                change->base_revision =
                    whole.configurations().current_revision();
            }
            if (once::claim* claim = std::get_if<once::claim>(&command))
            {
                claim->key.idempotency_key = std::to_string(random() % 20);
            }
            bytes const record = encode_command(command);
            whole.apply(index, record);
            if (index == restart_at)
            {
                cr_assert(resumed.restore(whole.encode_snapshot()).ok());
            }
            if (index > restart_at)
            {
                resumed.apply(index, record);
            }
        }
        cr_assert(whole.encode_snapshot() == resumed.encode_snapshot(),
                  "seed %u", seed);
    }
}

Test(replicated_state, damaged_snapshot_when_restored_changes_nothing)
{
    replicated_state source;
    std::uint64_t index = 0;
    for (replicated_command const& command : one_of_each())
    {
        source.apply(++index, encode_command(command));
    }
    bytes const whole = source.encode_snapshot();
    replicated_state target;
    bytes const before = target.encode_snapshot();
    for (std::size_t size = 0; size < whole.size(); ++size)
    {
        bytes const cut(whole.begin(),
                        whole.begin() + static_cast<std::ptrdiff_t>(size));
        cr_assert_not(target.restore(cut).ok());
    }
    cr_assert(target.encode_snapshot() == before);
    cr_assert(target.restore(whole).ok());
    cr_assert(target.encode_snapshot() == whole);
}
