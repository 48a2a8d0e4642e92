#include "bilberrylead/once/spent_keys.hpp"

#include <algorithm>
#include <utility>

namespace bilberrylead::once
{

spent_keys::spent_keys(once_settings const& bounds)
    : max_size(bounds.max_spent_keys),
      bucket_length(
          std::max(bounds.spent_retention / bucket_count, duration(1)))
{
}

bool spent_keys::add(work_digest const& key, duration now)
{
    if (this->key_count >= this->max_size)
    {
        return false;
    }
    this->start_bucket(now / this->bucket_length);
    this->key_count += this->open_bucket.insert(key).second ? 1U : 0U;
    return true;
}

bool spent_keys::contains(work_digest const& key) const
{
    if (this->open_bucket.contains(key))
    {
        return true;
    }
    for (bucket const& closed : this->closed_buckets)
    {
        if (std::binary_search(closed.keys.begin(), closed.keys.end(), key))
        {
            return true;
        }
    }
    return false;
}

void spent_keys::expire(duration now)
{
    std::int64_t const current = now / this->bucket_length;
    this->start_bucket(current);
    while (!this->closed_buckets.empty() &&
           this->closed_buckets.front().number < current - bucket_count)
    {
        this->key_count -= this->closed_buckets.front().keys.size();
        this->closed_buckets.pop_front();
    }
}

void spent_keys::start_bucket(std::int64_t number)
{
    if (number == this->open_bucket_number)
    {
        return;
    }
    if (!this->open_bucket.empty())
    {
        this->closed_buckets.push_back(
            {this->open_bucket_number,
             {this->open_bucket.begin(), this->open_bucket.end()}});
        this->open_bucket.clear();
    }
    this->open_bucket_number = number;
}

std::size_t spent_keys::size() const
{
    return this->key_count;
}

std::vector<spent_keys::bucket> spent_keys::buckets() const
{
    std::vector<bucket> result(this->closed_buckets.begin(),
                               this->closed_buckets.end());
    result.push_back({this->open_bucket_number,
                      {this->open_bucket.begin(), this->open_bucket.end()}});
    return result;
}

bool spent_keys::restore(bucket restored)
{
    if (restored.number < this->open_bucket_number ||
        !std::is_sorted(restored.keys.begin(), restored.keys.end()))
    {
        return false;
    }
    this->start_bucket(restored.number);
    this->key_count -= this->open_bucket.size();
    this->open_bucket.insert(restored.keys.begin(), restored.keys.end());
    this->key_count += this->open_bucket.size();
    return true;
}

} // namespace bilberrylead::once
