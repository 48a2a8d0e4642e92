#include "bilberrylead/agreement/membership.hpp"

#include <algorithm>

namespace bilberrylead::agreement
{

member const* membership::find(host_id const& host) const
{
    auto const found = std::ranges::find(this->members, host, &member::host);
    return found == this->members.end() ? nullptr : &*found;
}

bool membership::is_voter(host_id const& host, std::uint64_t incarnation) const
{
    member const* const listed = this->find(host);
    return listed != nullptr && listed->voter &&
           listed->incarnation == incarnation;
}

std::size_t membership::voters() const
{
    return static_cast<std::size_t>(
        std::ranges::count(this->members, true, &member::voter));
}

std::size_t membership::quorum() const
{
    std::size_t const voting = this->voters();
    return voting == 0 ? 0 : voting / 2 + 1;
}

void membership::put(member const& next)
{
    this->remove(next.host);
    auto const place =
        std::ranges::upper_bound(this->members, next.host, {}, &member::host);
    this->members.insert(place, next);
}

void membership::remove(host_id const& host)
{
    std::erase_if(this->members,
                  [&host](member const& one)
                  {
                      return one.host == host;
                  });
}

} // namespace bilberrylead::agreement
