#include "bilberrylead/control/open_requests.hpp"

namespace bilberrylead::control
{

std::uint64_t open_requests::add(waiter who)
{
    ++this->last_token;
    this->waiters.emplace(this->last_token, who);
    return this->last_token;
}

waiter open_requests::take(std::uint64_t token)
{
    std::map<std::uint64_t, waiter>::iterator const found =
        this->waiters.find(token);
    if (found == this->waiters.end())
    {
        return nobody_waits{};
    }
    waiter const who = found->second;
    this->waiters.erase(found);
    return who;
}

} // namespace bilberrylead::control
