#include "bilberrylead/steering/block_table.hpp"

#include "bilberrylead/core/error.hpp"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <string>
#include <utility>
#include <vector>

namespace bilberrylead::steering
{

namespace
{

using v4_entry = block_entry<std::uint32_t>;
using v6_entry = block_entry<v6_key>;

std::string text_of(std::uint32_t address)
{
    in_addr const number{htonl(address)};
    std::array<char, INET_ADDRSTRLEN> text{};
    ::inet_ntop(AF_INET, &number, text.data(), text.size());
    return text.data();
}

std::string text_of(v6_key address)
{
    std::array<std::uint8_t, 16> number{};
    for (unsigned i = 0; i < 8; ++i)
    {
        unsigned const shift = 56U - 8U * i;
        number.at(i) = static_cast<std::uint8_t>(address.high >> shift);
        number.at(8 + i) = static_cast<std::uint8_t>(address.low >> shift);
    }
    std::array<char, INET6_ADDRSTRLEN> text{};
    ::inet_ntop(AF_INET6, number.data(), text.data(), text.size());
    return text.data();
}

std::string text_of(address_block const& block)
{
    return fmt::format("{}/{}",
                       block.first().is_v4() ? text_of(block.first().v4())
                                             : text_of(block.first().v6()),
                       block.length());
}

absl::Status check_value(valued_block const& each)
{
    if (each.value < largest_block_value)
    {
        return absl::OkStatus();
    }
    return make_error(
        error_kind::no_room,
        fmt::format("Block {} stands for number {}, the largest is {}.",
                    text_of(each.block), each.value, largest_block_value - 1),
        "Let blocks with equal zone and labels share a number.");
}

absl::Status absent(address_block const& block)
{
    return make_error(error_kind::unknown_name,
                      fmt::format("Block {} is to be removed and isn't there.",
                                  text_of(block)),
                      "Fetch the whole table again.");
}

template <class Key>
bool is_same_block(block_entry<Key> const& left, block_entry<Key> const& right)
{
    return left.start == right.start &&
           left.block.length() == right.block.length();
}

template <class Key>
absl::Status sort_unique(std::vector<block_entry<Key>>& entries)
{
    std::sort(entries.begin(), entries.end(), sorts_before<Key>);
    auto const twice =
        std::adjacent_find(entries.begin(), entries.end(), is_same_block<Key>);
    if (twice == entries.end())
    {
        return absl::OkStatus();
    }
    return make_error(error_kind::duplicate_name,
                      fmt::format("Block {}/{} stands twice.",
                                  text_of(twice->start), twice->block.length()),
                      "Remove one of the two.");
}

/// Changes to one family, collected before they take effect.
template <class Key>
class family_change
{
public:
    explicit family_change(layered_family<Key> const& before)
        : after(before), entries(before.changed())
    {
    }

    /// Removes a block; false if it isn't there.
    bool remove(Key const& start, unsigned length)
    {
        block_entry<Key> const wanted{start, {length, 0}};
        auto const found =
            std::lower_bound(this->entries.begin(), this->entries.end(), wanted,
                             sorts_before<Key>);
        if (found != this->entries.end() && is_same_block(*found, wanted))
        {
            this->entries.erase(found);
            return true;
        }
        return this->after.hide(start, length);
    }

    /// Adds a block or changes what it stands for; all removals come first.
    void set(Key const& start, packed_block block)
    {
        this->after.hide(start, block.length());
        this->newer.push_back({start, block});
    }

    /// The family after the change.
    absl::StatusOr<layered_family<Key>> finish()
    {
        absl::Status status = sort_unique(this->newer);
        if (!status.ok())
        {
            return status;
        }
        // A block that changes again replaces its earlier change.
        std::vector<block_entry<Key>> merged;
        merged.reserve(this->entries.size() + this->newer.size());
        std::set_union(this->newer.begin(), this->newer.end(),
                       this->entries.begin(), this->entries.end(),
                       std::back_inserter(merged), sorts_before<Key>);
        this->after.set_changed(merged);
        return std::move(this->after);
    }

private:
    layered_family<Key> after;
    std::vector<block_entry<Key>> entries;
    std::vector<block_entry<Key>> newer;
};

} // namespace

absl::StatusOr<block_table>
block_table::build(std::span<valued_block const> blocks)
{
    std::vector<v4_entry> v4_entries;
    std::vector<v6_entry> v6_entries;
    for (valued_block const& each : blocks)
    {
        absl::Status status = check_value(each);
        if (!status.ok())
        {
            return status;
        }
        packed_block const packed(each.block.length(), each.value);
        ip_address const& first = each.block.first();
        if (first.is_v4())
        {
            v4_entries.push_back({first.v4(), packed});
        }
        else
        {
            v6_entries.push_back({first.v6(), packed});
        }
    }
    absl::Status status = sort_unique(v4_entries);
    status.Update(sort_unique(v6_entries));
    if (!status.ok())
    {
        return status;
    }
    block_table table;
    table.v4 = layered_family<std::uint32_t>(v4_entries);
    table.v6 = layered_family<v6_key>(v6_entries);
    return table;
}

std::optional<block_match> block_table::find(ip_address const& address) const
{
    return address.is_v4() ? this->v4.find(address.v4())
                           : this->v6.find(address.v6());
}

absl::StatusOr<block_table> block_table::with(block_delta const& delta) const
{
    family_change<std::uint32_t> v4_change(this->v4);
    family_change<v6_key> v6_change(this->v6);
    for (address_block const& block : delta.removed)
    {
        ip_address const& first = block.first();
        bool const was_there =
            first.is_v4() ? v4_change.remove(first.v4(), block.length())
                          : v6_change.remove(first.v6(), block.length());
        if (!was_there)
        {
            return absent(block);
        }
    }
    for (valued_block const& each : delta.set)
    {
        absl::Status status = check_value(each);
        if (!status.ok())
        {
            return status;
        }
        packed_block const packed(each.block.length(), each.value);
        ip_address const& first = each.block.first();
        if (first.is_v4())
        {
            v4_change.set(first.v4(), packed);
        }
        else
        {
            v6_change.set(first.v6(), packed);
        }
    }
    absl::StatusOr<layered_family<std::uint32_t>> new_v4 = v4_change.finish();
    absl::StatusOr<layered_family<v6_key>> new_v6 = v6_change.finish();
    if (!new_v4.ok() || !new_v6.ok())
    {
        return new_v4.ok() ? new_v6.status() : new_v4.status();
    }
    block_table table;
    table.v4 = *std::move(new_v4);
    table.v6 = *std::move(new_v6);
    return table;
}

block_table block_table::compacted() const
{
    block_table table;
    table.v4 = layered_family<std::uint32_t>(this->v4.all());
    table.v6 = layered_family<v6_key>(this->v6.all());
    return table;
}

std::size_t block_table::size() const
{
    return this->v4.size() + this->v6.size();
}

std::size_t block_table::changed_blocks() const
{
    return this->v4.overlay_size() + this->v6.overlay_size();
}

std::size_t block_table::bytes_held() const
{
    return this->v4.bytes_held() + this->v6.bytes_held();
}

} // namespace bilberrylead::steering
