#include "bilberrylead/once/spent_keys.hpp"

#include <algorithm>
#include <utility>

namespace bilberrylead::once
{

spent_keys::spent_keys(once_settings const& bounds)
    : largest(bounds.largest_spent_keys),
      length(std::max(bounds.spent_retention / stretches, duration(1)))
{
}

bool spent_keys::add(work_digest const& key, duration now)
{
    if (this->count >= this->largest)
    {
        return false;
    }
    this->start_stretch(now / this->length);
    this->count += this->open.insert(key).second ? 1U : 0U;
    return true;
}

bool spent_keys::contains(work_digest const& key) const
{
    if (this->open.contains(key))
    {
        return true;
    }
    for (stretch const& each : this->closed)
    {
        if (std::binary_search(each.keys.begin(), each.keys.end(), key))
        {
            return true;
        }
    }
    return false;
}

void spent_keys::expire(duration now)
{
    std::int64_t const current = now / this->length;
    this->start_stretch(current);
    while (!this->closed.empty() &&
           this->closed.front().number < current - stretches)
    {
        this->count -= this->closed.front().keys.size();
        this->closed.pop_front();
    }
}

void spent_keys::start_stretch(std::int64_t number)
{
    if (number == this->open_number)
    {
        return;
    }
    if (!this->open.empty())
    {
        this->closed.push_back(
            {this->open_number, {this->open.begin(), this->open.end()}});
        this->open.clear();
    }
    this->open_number = number;
}

std::size_t spent_keys::size() const
{
    return this->count;
}

std::vector<spent_keys::stretch> spent_keys::all() const
{
    std::vector<stretch> result(this->closed.begin(), this->closed.end());
    result.push_back(
        {this->open_number, {this->open.begin(), this->open.end()}});
    return result;
}

bool spent_keys::restore(stretch taken)
{
    if (taken.number < this->open_number ||
        !std::is_sorted(taken.keys.begin(), taken.keys.end()))
    {
        return false;
    }
    this->start_stretch(taken.number);
    this->count -= this->open.size();
    this->open.insert(taken.keys.begin(), taken.keys.end());
    this->count += this->open.size();
    return true;
}

} // namespace bilberrylead::once
