#include "bilberrylead/once/abandoned_requests.hpp"

#include <cassert>

namespace bilberrylead::once
{

void abandoned_requests::add(work_digest const& request, duration expires_at)
{
    assert(this->entries.empty() ||
           expires_at >= this->entries.back().expires_at);
    if (!this->requests.insert(request).second)
    {
        return;
    }
    this->entries.push_back({expires_at, request});
    if (this->entries.size() > max_size)
    {
        this->drop_oldest();
    }
}

bool abandoned_requests::contains(work_digest const& request) const
{
    return this->requests.contains(request);
}

void abandoned_requests::expire(duration now)
{
    while (!this->entries.empty() && this->entries.front().expires_at <= now)
    {
        this->drop_oldest();
    }
}

std::deque<abandoned_requests::entry> const& abandoned_requests::all() const
{
    return this->entries;
}

void abandoned_requests::drop_oldest()
{
    this->requests.erase(this->entries.front().request);
    this->entries.pop_front();
}

} // namespace bilberrylead::once
