#include "bilberrylead/agreement/send_rounds.hpp"

namespace bilberrylead::agreement
{

void send_rounds::next(instant now)
{
    this->starts.push_back(now);
}

std::uint64_t send_rounds::current() const
{
    return this->first + this->starts.size() - 1;
}

std::optional<instant> send_rounds::started_at(std::uint64_t round) const
{
    if (round < this->first || round > this->current())
    {
        return std::nullopt;
    }
    return this->starts[round - this->first];
}

void send_rounds::forget_before(instant oldest)
{
    while (this->starts.size() > 1 && this->starts.front() < oldest)
    {
        this->starts.pop_front();
        ++this->first;
    }
}

} // namespace bilberrylead::agreement
