#include "bilberrylead/http/request_window.hpp"

#include <algorithm>
#include <cassert>

namespace bilberrylead::http
{

bool request_window::has_room(bool stopping) const
{
    if (this->ending)
    {
        return false;
    }
    if (this->requests.empty())
    {
        return true;
    }
    return !stopping && this->requests.size() < this->most &&
           std::all_of(
               this->requests.begin(), this->requests.end(),
               [](traits const& each)
               {
                   return each.idempotent && each.received &&
                          each.keeps_connection;
               });
}

bool request_window::admits(bool idempotent, bool stopping) const
{
    return this->has_room(stopping) && (idempotent || this->requests.empty());
}

void request_window::add(traits const& request)
{
    assert(this->requests.size() < this->most);
    this->requests.push_back(request);
}

void request_window::set_received()
{
    this->requests.back().received = true;
}

bool request_window::begin_answer(bool stopping)
{
    traits const& first = this->requests.front();
    bool const last = this->requests.size() == 1;
    bool const keeps =
        first.keeps_connection && first.received && !(stopping && last);
    this->ending = this->ending || !keeps;
    return keeps;
}

void request_window::close_after_first()
{
    this->requests.front().keeps_connection = false;
    this->ending = true;
}

void request_window::remove_first()
{
    this->requests.pop_front();
}

} // namespace bilberrylead::http
