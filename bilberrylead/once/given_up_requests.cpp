#include "bilberrylead/once/given_up_requests.hpp"

#include <cassert>

namespace bilberrylead::once
{

void given_up_requests::add(work_digest const& request, duration due)
{
    assert(this->marks.empty() || due >= this->marks.back().due);
    if (!this->marked.insert(request).second)
    {
        return;
    }
    this->marks.push_back({due, request});
    if (this->marks.size() > largest_size)
    {
        this->drop_oldest();
    }
}

bool given_up_requests::contains(work_digest const& request) const
{
    return this->marked.contains(request);
}

void given_up_requests::expire(duration now)
{
    while (!this->marks.empty() && this->marks.front().due <= now)
    {
        this->drop_oldest();
    }
}

std::deque<given_up_requests::mark> const& given_up_requests::all() const
{
    return this->marks;
}

void given_up_requests::drop_oldest()
{
    this->marked.erase(this->marks.front().request);
    this->marks.pop_front();
}

} // namespace bilberrylead::once
