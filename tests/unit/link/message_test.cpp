#include "bilberrylead/link/message.hpp"

#include "bilberrylead/catalog/replicated_command.hpp"
#include "bilberrylead/core/cbor.hpp"
#include "bilberrylead/core/cbor_fields.hpp"
#include "bilberrylead/core/error.hpp"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

using namespace bilberrylead;
using nlohmann::json;

namespace
{

once::claim_key const key{service_id("s"), caller_id("c"), "k"};

link::entry_presence presence_message()
{
    link::entry_presence said;
    said.address = {"127.0.0.1", 80};
    said.zone = zone_id("z");
    said.region = region_id("r");
    said.ready = true;
    said.in_force = 5;
    said.listing = {3, 4};
    said.demands = {{service_id("s"), 1500}, {service_id("t"), 0}};
    return said;
}

link::admission_rows admission_rows()
{
    return {service_id("s"),
            {{0, 1000}, {1, 400}, {7, 0}},
            {{customer_id("a"), 1, 250}, {customer_id(), 7, 1}}};
}

link::entry_presence presence_with_admission()
{
    link::entry_presence said = presence_message();
    said.admission = {admission_rows(), {service_id("t"), {}, {}}};
    return said;
}

link::admission_shares admission_shares()
{
    return {3, std::chrono::milliseconds(250), {admission_rows()}};
}

link::region_plan plan_with(link::admission_shares const& shares)
{
    link::region_plan said{7, {{service_id("s"), region_id("r"), 400}}, 5};
    said.admission = shares;
    return said;
}

discovery::list_changes listing_changes()
{
    discovery::list_changes changes;
    changes.base = {3, 3};
    changes.target = {3, 4};
    discovery::reported_upstream told;
    told.upstream.id = upstream_id("i-1");
    told.upstream.service = service_id("s");
    told.upstream.zone = zone_id("z");
    told.upstream.address = {"127.0.0.1", 81};
    told.upstream.leaving = true;
    told.cold_remaining = std::chrono::milliseconds(250);
    discovery::reported_upstream restarted = told;
    restarted.started_at =
        wall_time(std::chrono::milliseconds(1'765'000'000'123));
    restarted.incarnation = {3, 2};
    changes.put = {told, restarted};
    changes.removed = {upstream_id("i-0")};
    return changes;
}

/// Every kind of message, and every kind of what some of them hold.
std::vector<link::message> one_of_each()
{
    once::claim_refused const refused{once::claim_refusal::abandoned,
                                      std::chrono::seconds(3)};
    once::claim const claim{key, 9, request_id("r"), host_id("e1"), 4};
    return {
        link::replica_message{bytes{1, 2, 3}},
        link::subscription{7, link::delivery::pushed},
        link::subscription{0, link::delivery::announced},
        link::revision_announcement{8},
        link::configuration_update{9, 8, bytes{'{', '}'}},
        link::registration_request{11},
        link::registration_reply{{true, 12, 3}},
        link::once_request{1, claim},
        link::once_request{2, once::complete{key,
                                             request_id("r"),
                                             {200, "a/b", bytes(5), false}}},
        link::once_request{3, once::release{key, request_id("r")}},
        link::once_request{4, once::mark_unknown{key, request_id("r")}},
        link::claim_reply{5, once::claim_granted{}},
        link::claim_reply{6, once::claim_in_progress{}},
        link::claim_reply{7, once::claim_recorded{{599, "", bytes{0}, true}}},
        link::claim_reply{8, once::claim_outcome_unknown{}},
        link::claim_reply{9, once::claim_mismatch{}},
        link::claim_reply{10, refused},
        link::settle_reply{11, once::settle_result::no_record},
        link::leader_notice{host_id("c1"), 12},
        link::leader_notice{host_id(), 0},
        presence_message(),
        presence_with_admission(),
        link::host_place{zone_id("z"), region_id("r")},
        link::group_news{{{host_id("c1"), zone_id("a1"), region_id("a")},
                          {host_id("c2"), {}, {}}},
                         11,
                         4},
        link::upstream_update{listing_changes()},
        link::upstream_request{{3, 4}},
        link::upstream_contact_notice{true},
        link::relay_host_list{
            {{host_id("e2"), {"10.0.0.2", 80}, region_id("r")}}},
        link::region_plan{7, {{service_id("s"), region_id("r"), 400}}},
        plan_with(admission_shares()),
        link::limit_notice{
            host_id("e1"),
            {{upstream_id("i-1"), 2.5, std::chrono::milliseconds(30), 12},
             {upstream_id("i-2"), std::nullopt, duration::zero(), 0}}},
        link::customer_usage_report{
            {7, 3, {{customer_id("a"), 5000, 4, 3, -2, 1000}}}},
        link::customer_shares{{7, 2, {{customer_id("a"), 250'000, 1}}}},
        link::crash_report{
            {{9, 1, {upstream_id("i-1"), upstream_id("i-2")}}, {8, 0, {}}}},
    };
}

/// Reads a heartbeat or region plan as the version before admission by plan
/// does: it knows no fields behind the last one read here.
bool version_before_admission_reads(bytes const& encoded)
{
    constexpr std::uint64_t presence_tag = 11;
    constexpr std::size_t longest = 255;
    absl::StatusOr<cbor_fields> fields = cbor_fields::parse(encoded);
    if (!fields.ok())
    {
        return false;
    }
    bool const is_presence = fields->take_unsigned() == presence_tag;
    if (is_presence)
    {
        fields->take_text(longest);
        fields->take_unsigned_16();
        fields->take_text(longest);
        fields->take_text(longest);
        fields->take_bool();
        fields->take_bool();
        fields->take_unsigned();
        fields->take_unsigned();
    }
    fields->take_unsigned();
    std::uint64_t const rows = fields->take_unsigned();
    for (std::uint64_t row = 0; fields->intact() && row < rows; ++row)
    {
        fields->take_text(longest);
        if (!is_presence)
        {
            fields->take_text(longest);
        }
        fields->take_unsigned_32();
    }
    if (!is_presence && fields->intact() && !fields->complete())
    {
        fields->take_unsigned();
    }
    return fields->complete();
}

bytes cbor(json const& record)
{
    bytes output;
    append_cbor(record, output);
    return output;
}

bool is_typed_error(bytes const& encoded)
{
    absl::StatusOr<link::message> const read = link::decode(encoded);
    return kind_of(read.status()) == error_kind::syntax ||
           kind_of(read.status()) == error_kind::bad_value;
}

/// A once_request that carries any command, also one that isn't allowed.
bytes request_with(catalog::replicated_command const& command)
{
    return cbor(
        json::array({7U, 1U, json::binary(catalog::encode_command(command))}));
}

/// A report of an answer with a status that no answer can have.
bytes request_with_status(std::uint64_t status)
{
    once::complete const report{key, request_id("r"), {200, "", {}, false}};
    absl::StatusOr<json> record = parse_cbor(catalog::encode_command(report));
    for (json& field : *record)
    {
        if (field == 200U)
        {
            field = status;
        }
    }
    return cbor(json::array({7U, 1U, json::binary(cbor(*record))}));
}

struct hostile_row
{
    char const* name;
    bytes encoded;
};

} // namespace

Test(message, each_kind_when_decoded_is_what_was_encoded)
{
    for (link::message const& content : one_of_each())
    {
        bytes const encoded = link::encode(content);
        absl::StatusOr<link::message> const read = link::decode(encoded);
        cr_assert(read.ok(), "kind %zu", content.index());
        cr_assert_eq(read->index(), content.index());
        cr_assert(link::encode(*read) == encoded, "kind %zu", content.index());
    }

    // Encoding again says nothing of a field that was never written.
    absl::StatusOr<link::message> const read =
        link::decode(link::encode(one_of_each().at(7)));
    link::once_request const& request = std::get<link::once_request>(*read);
    cr_assert_eq(request.number, 1U);
    once::claim const claim{key, 9, request_id("r"), host_id("e1"), 4};
    cr_assert(std::get<once::claim>(request.command) == claim);
}

// A link breaks in the middle of a message, or a peer lies about its length.
Test(message, each_kind_when_cut_at_any_byte_is_a_typed_error)
{
    for (link::message const& content : one_of_each())
    {
        bytes cut = link::encode(content);
        while (!cut.empty())
        {
            cut.pop_back();
            cr_assert(is_typed_error(cut), "kind %zu at %zu", content.index(),
                      cut.size());
        }
    }
}

// A peer of another version, or a hostile one, sends what is CBOR and no
// message. Above all an entry host must not slip an operator's change or a
// step of the log's time into the log by way of a once_request.
Test(message, hostile_bytes_when_decoded_are_a_typed_error)
{
    json const binary = json::binary(bytes{1});
    std::vector<hostile_row> const rows{
        {"not an array", cbor(json(1U))},
        {"no tag", cbor(json::array())},
        {"tag 0", cbor(json::array({0U, binary}))},
        {"tag 11", cbor(json::array({11U, 1U}))},
        {"tag 2^32 + 1", cbor(json::array({4294967297U, binary}))},
        {"text as tag", cbor(json::array({"1", binary}))},
        {"text as bytes", cbor(json::array({1U, "text"}))},
        {"negative revision", cbor(json::array({3U, -1}))},
        {"number as truth", cbor(json::array({2U, 1U, 1U}))},
        {"bytes as host", cbor(json::array({10U, binary, 1U}))},
        {"long host", cbor(json::array({10U, std::string(4097, 'a'), 1U}))},
        {"field too many", cbor(json::array({3U, 1U, 1U}))},
        {"verdict 0", cbor(json::array({8U, 1U, 0U}))},
        {"verdict 7", cbor(json::array({8U, 1U, 7U}))},
        {"refusal 6", cbor(json::array({8U, 1U, 6U, 6U, 0}))},
        {"result 4", cbor(json::array({9U, 1U, 4U}))},
        {"no command", cbor(json::array({7U, 1U, binary}))},
        {"operator's change", request_with(catalog::change_command{})},
        {"time step", request_with(once::advance_time{})},
        {"registration", request_with(once::register_entry_host{})},
        {"report of status 65736", request_with_status(65736)},
        {"status 65736",
         cbor(json::array({8U, 1U, 3U, 65736U, "a/b", binary, false}))},
    };
    for (hostile_row const& row : rows)
    {
        cr_assert(is_typed_error(row.encoded), "%s", row.name);
    }
}

Test(message, each_kind_when_mutated_is_read_or_a_typed_error)
{
    std::mt19937_64 generator(20);
    std::vector<link::message> const messages = one_of_each();
    for (int round = 0; round < 20'000; ++round)
    {
        bytes mutated =
            link::encode(messages.at(generator() % messages.size()));
        std::uint64_t const changes = 1 + generator() % 4;
        for (std::uint64_t change = 0; change < changes; ++change)
        {
            mutated.at(generator() % mutated.size()) =
                static_cast<std::uint8_t>(generator());
        }
        cr_assert(link::decode(mutated).ok() || is_typed_error(mutated),
                  "round %d", round);
    }
}

Test(message, admission_when_decoded_is_what_was_encoded)
{
    absl::StatusOr<link::message> const presence =
        link::decode(link::encode(presence_with_admission()));
    cr_assert(presence.ok());
    cr_expect(std::get<link::entry_presence>(*presence).admission ==
              presence_with_admission().admission);
    absl::StatusOr<link::message> const plan =
        link::decode(link::encode(plan_with(admission_shares())));
    cr_assert(plan.ok());
    cr_expect(std::get<link::region_plan>(*plan) ==
              plan_with(admission_shares()));
}

// Hosts are updated one after the other, while no host has admission by plan.
// A peer without it sends and expects records that end earlier.
Test(message, admission_is_absent_from_records_of_peers_without_it)
{
    json const presence =
        json::array({11U, "127.0.0.1", 80U, "z", "r", true, false, 5U, 3U, 4U,
                     2U, "s", 1500U, "t", 0U});
    cr_expect(link::encode(presence_message()) == cbor(presence));
    absl::StatusOr<link::message> const old_presence =
        link::decode(cbor(presence));
    cr_assert(old_presence.ok());
    cr_expect_not(
        std::get<link::entry_presence>(*old_presence).admission.has_value());

    link::region_plan said{7, {{service_id("s"), region_id("r"), 400}}, 5};
    json const plan = json::array({16U, 7U, 1U, "s", "r", 400U, 5U});
    cr_expect(link::encode(said) == cbor(plan));
    absl::StatusOr<link::message> const old_plan = link::decode(cbor(plan));
    cr_assert(old_plan.ok());
    cr_expect_not(std::get<link::region_plan>(*old_plan).admission.has_value());
}

// Guards against a mixed-version deployment that fails while admission by plan
// is off, and states what setting it too early does: the version before it
// drops these messages, and only these.
Test(message, version_before_admission_reads_records_without_it_only)
{
    cr_expect(version_before_admission_reads(link::encode(presence_message())));
    cr_expect_not(version_before_admission_reads(
        link::encode(presence_with_admission())));
    link::entry_presence nothing_offered = presence_message();
    nothing_offered.admission.emplace();
    cr_expect_not(
        version_before_admission_reads(link::encode(nothing_offered)));

    link::region_plan const plan{
        7, {{service_id("s"), region_id("r"), 400}}, 5};
    cr_expect(version_before_admission_reads(link::encode(plan)));
    cr_expect_not(version_before_admission_reads(
        link::encode(plan_with(admission_shares()))));
}

// A faulty peer must not make the leader or an entry host plan with values
// without meaning, or keep more of them than fit its memory.
Test(message, admission_out_of_range_is_a_typed_error)
{
    struct row
    {
        char const* name;
        void (*spoil)(link::admission_rows&);
    };
    std::vector<row> const rows{
        {"17 ranks",
         [](link::admission_rows& each)
         {
             each.ranks.clear();
             for (std::uint32_t rank = 0; rank < 17; ++rank)
             {
                 each.ranks.push_back({rank, 1});
             }
         }},
        {"33 customers",
         [](link::admission_rows& each)
         {
             each.customers.assign(33, {customer_id("a"), 1, 1});
         }},
        {"descending ranks",
         [](link::admission_rows& each)
         {
             each.ranks = {{1, 1}, {0, 1}};
         }},
        {"a rank twice",
         [](link::admission_rows& each)
         {
             each.ranks = {{1, 1}, {1, 1}};
         }},
        {"a rank out of range",
         [](link::admission_rows& each)
         {
             each.ranks = {{1'000'000'001, 1}};
         }},
        {"a rank's value out of range",
         [](link::admission_rows& each)
         {
             each.ranks = {{1, 1'000'000'001}};
         }},
        {"a customer's value out of range",
         [](link::admission_rows& each)
         {
             each.customers = {{customer_id("a"), 1, 1'000'000'001}};
         }},
        {"a long name",
         [](link::admission_rows& each)
         {
             each.customers = {{customer_id(std::string(64, 'a')), 1, 1}};
         }},
        {"no service",
         [](link::admission_rows& each)
         {
             each.service = service_id();
         }},
    };
    for (row const& each : rows)
    {
        link::admission_rows spoilt = admission_rows();
        each.spoil(spoilt);
        link::entry_presence presence = presence_message();
        presence.admission = std::vector<link::admission_rows>{spoilt};
        cr_expect(is_typed_error(link::encode(presence)), "%s", each.name);
        link::admission_shares shares = admission_shares();
        shares.services = {spoilt};
        cr_expect(is_typed_error(link::encode(plan_with(shares))), "%s",
                  each.name);
    }
    link::entry_presence presence = presence_message();
    presence.admission =
        std::vector<link::admission_rows>(65, admission_rows());
    cr_expect(is_typed_error(link::encode(presence)), "65 services");

    link::admission_shares shares = admission_shares();
    shares.services.front().ranks.front().amount = 1001;
    cr_expect(is_typed_error(link::encode(plan_with(shares))),
              "a share above 1");
    shares = admission_shares();
    shares.services.front().customers.front().amount = 1001;
    cr_expect(is_typed_error(link::encode(plan_with(shares))),
              "a customer's share above 1");
    shares = admission_shares();
    shares.number = 0;
    cr_expect(is_typed_error(link::encode(plan_with(shares))), "no number");
    for (duration const age : {duration(std::chrono::milliseconds(-1)),
                               duration(std::chrono::seconds(61))})
    {
        shares = admission_shares();
        shares.age = age;
        cr_expect(is_typed_error(link::encode(plan_with(shares))),
                  "an age out of range");
    }
}
