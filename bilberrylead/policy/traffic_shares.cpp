#include "bilberrylead/policy/traffic_shares.hpp"

#include <algorithm>
#include <cassert>

namespace bilberrylead::policy
{

traffic_shares::traffic_shares(std::size_t regions)
    : count(regions), cells(regions * regions, 0)
{
    for (std::size_t region = 0; region < regions; ++region)
    {
        this->cell(region, region) = whole;
    }
}

std::uint32_t& traffic_shares::cell(std::size_t from, std::size_t to)
{
    assert(from < this->count && to < this->count);
    return this->cells[from * this->count + to];
}

std::uint32_t traffic_shares::at(std::size_t from, std::size_t to) const
{
    assert(from < this->count && to < this->count);
    return this->cells[from * this->count + to];
}

std::uint32_t traffic_shares::move(std::size_t from, std::size_t source,
                                   std::size_t target, std::uint32_t amount)
{
    std::uint32_t const moved = std::min(amount, this->cell(from, source));
    this->cell(from, source) -= moved;
    this->cell(from, target) += moved;
    return moved;
}

std::uint32_t traffic_shares::largest_change(traffic_shares const& other) const
{
    assert(this->count == other.count);
    std::uint32_t largest = 0;
    for (std::size_t from = 0; from < this->count; ++from)
    {
        std::uint32_t gained = 0;
        for (std::size_t to = 0; to < this->count; ++to)
        {
            std::uint32_t const here = this->at(from, to);
            gained += other.at(from, to) - std::min(other.at(from, to), here);
        }
        largest = std::max(largest, gained);
    }
    return largest;
}

void traffic_shares::approach(traffic_shares const& target, std::uint32_t cap)
{
    assert(this->count == target.count);
    for (std::size_t from = 0; from < this->count; ++from)
    {
        std::uint32_t left = cap;
        for (std::size_t to = 0; to < this->count; ++to)
        {
            // Fills what is short of its target from what is over it.
            for (std::size_t source = 0; source < this->count; ++source)
            {
                std::uint32_t const wanted =
                    target.at(from, to) -
                    std::min(target.at(from, to), this->at(from, to));
                std::uint32_t const over =
                    this->at(from, source) -
                    std::min(this->at(from, source), target.at(from, source));
                left -= this->move(from, source, to,
                                   std::min({left, wanted, over}));
            }
        }
    }
}

} // namespace bilberrylead::policy
