#include "bilberrylead/control/pending_requests.hpp"

namespace bilberrylead::control
{

std::uint64_t pending_requests::add(waiter requester)
{
    ++this->last_token;
    this->waiters.emplace(this->last_token, requester);
    return this->last_token;
}

waiter pending_requests::remove(std::uint64_t token)
{
    std::map<std::uint64_t, waiter>::iterator const found =
        this->waiters.find(token);
    if (found == this->waiters.end())
    {
        return no_waiter{};
    }
    waiter const requester = found->second;
    this->waiters.erase(found);
    return requester;
}

} // namespace bilberrylead::control
