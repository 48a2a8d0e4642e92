#ifndef BILBERRYLEAD_PRESENCE_HOST_RANK_HPP
#define BILBERRYLEAD_PRESENCE_HOST_RANK_HPP

#include "bilberrylead/core/ids.hpp"

#include <cstdint>

namespace bilberrylead::presence
{

/// Rank of one host for another one in rendezvous hashing: hosts that select
/// the others with the highest ranks select different ones.
std::uint64_t host_rank(host_id const& self, host_id const& other);

} // namespace bilberrylead::presence

#endif
