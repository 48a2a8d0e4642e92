#include "bilberrylead/agreement/codec.hpp"
#include "bilberrylead/core/error.hpp"

#include <criterion/criterion.h>

#include <cstddef>
#include <cstdint>
#include <random>
#include <span>
#include <string>
#include <vector>

using namespace bilberrylead::agreement;
using bilberrylead::bytes;
using bilberrylead::error_kind;
using bilberrylead::host_id;
using bilberrylead::kind_of;

namespace
{

membership two_members()
{
    membership members;
    members.put(member{host_id("b"), 2, false, true});
    members.put(member{host_id("a"), 1, true, false});
    return members;
}

/// One message of each kind, with every field set.
std::vector<message> every_message()
{
    log_entry const command{3, 9, entry_kind::command, {1, 2, 3}};
    log_entry const change{3, 10, entry_kind::membership,
                           encode_membership(two_members())};
    std::vector<message_body> const bodies = {
        pre_vote_request{4, 8, 3},
        pre_vote_reply{4, true},
        vote_request{8, 3, true},
        vote_reply{true},
        append_request{77, 8, 2, 6, {command, change}},
        append_reply{77, true, 10, 11, 12, 13},
        install_snapshot_request{78, 8, 3, two_members(), 9, 3, {7, 8}},
        install_snapshot_reply{78, 8, 5, true},
        timeout_now{},
    };
    std::vector<message> messages;
    messages.reserve(bodies.size());
    for (message_body const& body : bodies)
    {
        messages.push_back(message{5, 2, body});
    }
    return messages;
}

bytes nested(std::uint8_t opening, std::size_t depth)
{
    return bytes(depth, opening);
}

struct bad_input
{
    char const* name;
    bytes data;
    error_kind kind;
};

} // namespace

// Hosts of the version before do not report what they know to be committed.
Test(codec, reply_without_a_commit_index_is_read_as_such)
{
    message const sent{5, 2, append_reply{77, true, 10, 11, 12, {}}};
    absl::StatusOr<message> const read = decode_message(encode_message(sent));
    cr_assert(read.ok());
    cr_expect(*read == sent);
}

Test(codec, every_message_when_written_and_read_is_the_same)
{
    for (message const& one : every_message())
    {
        absl::StatusOr<message> const copy =
            decode_message(encode_message(one));
        cr_assert(copy.ok());
        cr_assert(*copy == one, "kind %zu", one.body.index());
    }
}

Test(codec, every_message_when_truncated_is_refused)
{
    for (message const& one : every_message())
    {
        bytes const encoded = encode_message(one);
        for (std::size_t length = 0; length < encoded.size(); ++length)
        {
            cr_assert_not(
                decode_message(std::span(encoded).first(length)).ok());
        }
    }
}

Test(codec, every_message_when_corrupted_decodes_or_gives_a_typed_error)
{
    std::mt19937_64 random(7);
    for (message const& one : every_message())
    {
        bytes const encoded = encode_message(one);
        for (int round = 0; round < 2000; ++round)
        {
            bytes damaged = encoded;
            damaged.at(random() % damaged.size()) =
                static_cast<std::uint8_t>(random());
            absl::StatusOr<message> const read = decode_message(damaged);
            cr_assert(read.ok() || kind_of(read.status()).has_value());
        }
    }
}

Test(codec, hostile_input_when_read_gives_its_typed_error)
{
    std::vector<bad_input> const table = {
        {"nothing", {}, error_kind::syntax},
        {"not CBOR", {0xff, 0xff}, error_kind::syntax},
        {"trailing byte", {0xa0, 0x00}, error_kind::syntax},
        {"a number", {0x05}, error_kind::bad_value},
        {"empty map", {0xa0}, error_kind::missing_field},
        // A million nested arrays, maps or tags would overflow any stack.
        {"deep arrays", nested(0x81, 1000000), error_kind::syntax},
        {"deep endless arrays", nested(0x9f, 1000000), error_kind::syntax},
        {"deep maps", nested(0xa1, 1000000), error_kind::syntax},
        {"tags", nested(0xc1, 1000000), error_kind::syntax},
        // Declared lengths larger than any memory.
        {"long array",
         {0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
         error_kind::syntax},
        {"long text",
         {0x7b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
         error_kind::syntax},
        {"long bytes",
         {0x5b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
         error_kind::syntax},
        {"term as text",
         {0xa1, 0x64, 't', 'e', 'r', 'm', 0x61, 'x'},
         error_kind::bad_value},
        {"negative term",
         {0xa1, 0x64, 't', 'e', 'r', 'm', 0x20},
         error_kind::bad_value},
    };
    for (bad_input const& row : table)
    {
        absl::StatusOr<message> const read = decode_message(row.data);
        cr_assert_not(read.ok(), "%s", row.name);
        cr_assert(kind_of(read.status()) == row.kind, "%s: %s", row.name,
                  std::string(read.status().message()).c_str());
    }
}

Test(codec, records_of_the_data_folder_when_written_and_read_are_the_same)
{
    hard_state const state{7, host_id("a"), 5};
    snapshot const state_snapshot{12, 3, two_members(), {1, 2, 3, 4}};
    log_entry const entry{3, 9, entry_kind::command, {}};
    cr_assert(*decode_hard_state(encode_hard_state(state)) == state);
    cr_assert(*decode_snapshot(encode_snapshot(state_snapshot)) ==
              state_snapshot);
    cr_assert(*decode_entry(encode_entry(entry)) == entry);
}

Test(codec, membership_when_read_is_ordered_by_host)
{
    membership const members = two_members();
    cr_assert(*decode_membership(encode_membership(members)) == members);
    cr_assert_eq(members.members.front().host, host_id("a"));
    cr_assert_eq(members.quorum(), 1U);
}
