#include "bilberrylead/presence/host_rank.hpp"

#include "bilberrylead/policy/generator.hpp"

#include <functional>

namespace bilberrylead::presence
{

std::uint64_t host_rank(host_id const& self, host_id const& other)
{
    std::hash<host_id> const hash;
    return policy::generator(policy::generator(hash(self)).next() ^ hash(other))
        .next();
}

} // namespace bilberrylead::presence
