#include "bilberrylead/steering/block_table.hpp"

#include "bilberrylead/core/error.hpp"

#include <criterion/criterion.h>

#include <map>
#include <random>
#include <string>
#include <vector>

using namespace bilberrylead;
using namespace bilberrylead::steering;

namespace
{

address_block block_of(std::string const& text)
{
    absl::StatusOr<address_block> const block = address_block::parse(text);
    cr_assert(block.ok(), "%s", text.c_str());
    return *block;
}

ip_address address_of(std::string const& text)
{
    absl::StatusOr<ip_address> const address = ip_address::parse(text);
    cr_assert(address.ok(), "%s", text.c_str());
    return *address;
}

/// Reference implementation: a map that is searched for each prefix of an
/// address, from the longest to the shortest.
class naive_table
{
public:
    std::map<address_block, block_value> blocks;

    std::optional<block_match> find(ip_address const& address) const
    {
        unsigned const bits = address.is_v4() ? v4_bits : v6_bits;
        for (unsigned length = bits + 1; length-- > 0;)
        {
            auto const found =
                this->blocks.find(address_block::containing(address, length));
            if (found != this->blocks.end())
            {
                return block_match{found->second, length};
            }
        }
        return std::nullopt;
    }

    std::vector<valued_block> all() const
    {
        std::vector<valued_block> result;
        result.reserve(this->blocks.size());
        for (auto const& [block, value] : this->blocks)
        {
            result.push_back({block, value});
        }
        return result;
    }
};

/// Only a few address bits vary, so that blocks nest, adjoin and share first
/// addresses.
ip_address clustered_address(std::mt19937_64& random)
{
    std::uint64_t const bits = random();
    std::uint64_t const varying = bits & 0xF0F0'0000'0000'00FFU;
    if (bits % 2 == 0)
    {
        return ip_address(static_cast<std::uint32_t>(varying >> 32U | varying));
    }
    return ip_address(v6_key{varying, random() & 0xF000'0000'0000'0003U});
}

address_block clustered_block(std::mt19937_64& random)
{
    ip_address const address = clustered_address(random);
    unsigned const bits = address.is_v4() ? v4_bits : v6_bits;
    return address_block::containing(
        address, static_cast<unsigned>(random() % (bits + 1)));
}

void expect_same_results(block_table const& table, naive_table const& naive,
                         std::mt19937_64& random, unsigned seed)
{
    cr_assert_eq(table.size(), naive.blocks.size(), "seed %u", seed);
    for (int i = 0; i < 300; ++i)
    {
        ip_address const address = clustered_address(random);
        cr_assert(table.find(address) == naive.find(address), "seed %u", seed);
    }
    for (auto const& [block, value] : naive.blocks)
    {
        cr_assert(table.find(block.first()) == naive.find(block.first()),
                  "seed %u", seed);
    }
}

} // namespace

Test(block_table, nested_blocks_when_queried_return_the_longest)
{
    std::vector<valued_block> const blocks = {
        {block_of("10.0.0.0/8"), 1},         {block_of("10.1.0.0/16"), 2},
        {block_of("10.1.2.0/24"), 3},        {block_of("10.1.2.128/32"), 4},
        {block_of("2001:db8::/32"), 5},      {block_of("2001:db8::/128"), 6},
        {block_of("255.255.255.255/32"), 7}, {block_of("2001:db8:1::/64"), 8},
        {block_of("2001:db8:1::80/121"), 9},
    };
    block_table const table = block_table::build(blocks).value();
    std::vector<std::pair<char const*, std::optional<block_match>>> const rows =
        {
            {"10.9.9.9", block_match{1, 8}},
            {"10.1.9.9", block_match{2, 16}},
            {"10.1.2.127", block_match{3, 24}},
            {"10.1.2.128", block_match{4, 32}},
            {"10.1.2.129", block_match{3, 24}},
            {"::ffff:10.1.2.128", block_match{4, 32}},
            {"11.0.0.0", std::nullopt},
            {"9.255.255.255", std::nullopt},
            {"0.0.0.0", std::nullopt},
            {"255.255.255.255", block_match{7, 32}},
            {"255.255.255.254", std::nullopt},
            {"2001:db8::", block_match{6, 128}},
            {"2001:db8::1", block_match{5, 32}},
            {"ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff", std::nullopt},
            {"::", std::nullopt},
            {"2001:db8:1::81", block_match{9, 121}},
            {"2001:db8:1::7f", block_match{8, 64}},
            {"2001:db8:1:1::", block_match{5, 32}},
        };
    for (auto const& [address, match] : rows)
    {
        cr_expect(table.find(address_of(address)) == match, "%s", address);
    }
    cr_assert_not(block_table().find(address_of("10.0.0.1")).has_value());
}

Test(block_table, invalid_blocks_when_built_are_named_in_the_error)
{
    std::vector<valued_block> const twice = {{block_of("10.0.0.0/8"), 1},
                                             {block_of("10.0.0.0/9"), 1},
                                             {block_of("10.0.0.0/8"), 2}};
    absl::Status const duplicate = block_table::build(twice).status();
    cr_assert(kind_of(duplicate) == error_kind::duplicate_name);
    cr_assert(std::string(duplicate.message()).find("10.0.0.0/8") !=
              std::string::npos);

    std::vector<valued_block> const large = {
        {block_of("2001:db8::/32"), block_value_limit}};
    absl::Status const too_large = block_table::build(large).status();
    cr_assert(kind_of(too_large) == error_kind::no_room);
    cr_assert(std::string(too_large.message()).find("2001:db8::/32") !=
              std::string::npos);
}

Test(address_block, texts_when_parsed_and_written_stay_the_same)
{
    for (char const* text : {"0.0.0.0/0", "10.1.0.0/16", "192.0.2.1/32", "::/0",
                             "2001:db8::/32", "2001:db8::1:0/112"})
    {
        cr_expect_eq(block_of(text).to_string(), text);
    }
}

Test(address_block, invalid_texts_when_parsed_are_rejected)
{
    for (char const* text :
         {"", "/", "10.0.0.0", "10.0.0.0/", "10.0.0.0/33", "10.0.0.0/-1",
          "10.0.0.0/8x", "10.0.0.0/ 8", "10.0.0/8", "10.0.0.1/8", "::1/64",
          "2001:db8::/129", "::ffff:10.0.0.0/104", "host/8"})
    {
        absl::Status const status = address_block::parse(text).status();
        cr_expect(kind_of(status) == error_kind::bad_value, "%s", text);
    }
}

// Applies a sequence of changes that remove blocks, change the values of
// others and add new ones, with a compaction after some of them. After each
// step, look-ups must equal those of the reference implementation. Guards
// against a match with a removed block, which would direct a caller to a zone
// that is no longer in use.
Test(block_table, random_changes_when_applied_match_a_linear_search)
{
    for (unsigned seed = 1; seed <= 40; ++seed)
    {
        std::mt19937_64 random(seed);
        naive_table naive;
        for (int i = 0; i < 400; ++i)
        {
            naive.blocks[clustered_block(random)] =
                static_cast<block_value>(random() % 1'000);
        }
        block_table table = block_table::build(naive.all()).value();
        expect_same_results(table, naive, random, seed);
        for (int change = 0; change < 12; ++change)
        {
            block_delta delta;
            for (auto const& [block, value] : naive.blocks)
            {
                if (random() % 16 == 0)
                {
                    delta.removed.push_back(block);
                }
            }
            std::map<address_block, block_value> set;
            for (int i = 0; i < 20; ++i)
            {
                set[clustered_block(random)] =
                    static_cast<block_value>(random() % 1'000);
            }
            for (address_block const& block : delta.removed)
            {
                naive.blocks.erase(block);
            }
            for (auto const& [block, value] : set)
            {
                delta.set.push_back({block, value});
                naive.blocks[block] = value;
            }
            table = table.with_changes(delta).value();
            expect_same_results(table, naive, random, seed);
            if (change % 5 == 4)
            {
                table = table.compacted();
                cr_assert_eq(table.overlay_size(), 0);
                expect_same_results(table, naive, random, seed);
            }
        }
    }
}

Test(block_table, invalid_change_when_applied_leaves_the_table_unchanged)
{
    std::vector<valued_block> const blocks = {{block_of("10.0.0.0/8"), 1}};
    block_table const table = block_table::build(blocks).value();
    block_delta const absent{{block_of("10.0.0.0/9")}, {}};
    block_delta const twice{
        {}, {{block_of("11.0.0.0/8"), 1}, {block_of("11.0.0.0/8"), 2}}};
    block_delta const removed_twice{
        {block_of("10.0.0.0/8"), block_of("10.0.0.0/8")}, {}};
    cr_assert(kind_of(table.with_changes(absent).status()) ==
              error_kind::unknown_name);
    cr_assert(kind_of(table.with_changes(twice).status()) ==
              error_kind::duplicate_name);
    cr_assert(kind_of(table.with_changes(removed_twice).status()) ==
              error_kind::unknown_name);
    cr_assert_eq(table.size(), 1);
    cr_assert(table.find(address_of("10.0.0.1")).has_value());
}
