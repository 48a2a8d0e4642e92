#ifndef BILBERRYLEAD_AGREEMENT_MEMBERSHIP_HPP
#define BILBERRYLEAD_AGREEMENT_MEMBERSHIP_HPP

#include "bilberrylead/agreement/member.hpp"
#include "bilberrylead/core/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace bilberrylead::agreement
{

/// Who takes part in the group: voters and learners, at most one
/// incarnation of each host.
struct membership
{
    /// Every member, ordered by host.
    std::vector<member> members;

    /// The entry of a host, or nullptr.
    member const* find(host_id const& host) const;

    /// True if exactly this incarnation of the host is a voter.
    bool is_voter(host_id const& host, std::uint64_t incarnation) const;

    /// How many members are voters.
    std::size_t voters() const;

    /// How many voters make a quorum; 0 if there is no voter at all.
    std::size_t quorum() const;

    /// Adds the member, or replaces the one of the same host.
    void put(member const& next);

    /// Takes the host out, if it is in.
    void remove(host_id const& host);

    friend bool operator==(membership const&, membership const&) = default;
};

} // namespace bilberrylead::agreement

#endif
