#include "bilberrylead/agreement/membership_history.hpp"

#include <algorithm>

namespace bilberrylead::agreement
{

namespace
{

membership const& no_membership()
{
    static membership const none;
    return none;
}

} // namespace

void membership_history::reset(std::uint64_t index, membership const& value)
{
    this->rows.assign(1, row{index, value});
}

void membership_history::put(std::uint64_t index, membership const& value)
{
    this->rows.push_back(row{index, value});
}

void membership_history::truncate_from(std::uint64_t index)
{
    std::erase_if(this->rows,
                  [index](row const& one)
                  {
                      return one.index >= index;
                  });
}

void membership_history::drop_before(std::uint64_t index)
{
    auto const later =
        std::ranges::upper_bound(this->rows, index, {}, &row::index);
    if (later != this->rows.begin())
    {
        this->rows.erase(this->rows.begin(), later - 1);
    }
}

membership const& membership_history::current() const
{
    return this->rows.empty() ? no_membership() : this->rows.back().value;
}

std::uint64_t membership_history::current_index() const
{
    return this->rows.empty() ? 0 : this->rows.back().index;
}

membership const& membership_history::previous() const
{
    return this->rows.size() < 2 ? no_membership()
                                 : this->rows.at(this->rows.size() - 2).value;
}

membership const& membership_history::at(std::uint64_t index) const
{
    auto const later =
        std::ranges::upper_bound(this->rows, index, {}, &row::index);
    return later == this->rows.begin() ? no_membership() : (later - 1)->value;
}

} // namespace bilberrylead::agreement
