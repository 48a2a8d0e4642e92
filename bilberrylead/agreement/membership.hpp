#ifndef BILBERRYLEAD_AGREEMENT_MEMBERSHIP_HPP
#define BILBERRYLEAD_AGREEMENT_MEMBERSHIP_HPP

#include "bilberrylead/agreement/member.hpp"
#include "bilberrylead/core/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace bilberrylead::agreement
{

/// The members of the group: voters and learners, at most one incarnation of
/// each host.
struct membership
{
    /// All members, ordered by host.
    std::vector<member> members;

    /// Returns the member with this host, or nullptr.
    member const* find(host_id const& host) const;

    /// True if exactly this incarnation of the host is a voter.
    bool is_voter(host_id const& host, std::uint64_t incarnation) const;

    /// Number of voters.
    std::size_t voters() const;

    /// Number of voters that form a quorum; 0 if there are no voters.
    std::size_t quorum() const;

    /// Adds the member, or replaces the one with the same host.
    void put(member const& next);

    /// Removes the host, if present.
    void remove(host_id const& host);

    friend bool operator==(membership const&, membership const&) = default;
};

} // namespace bilberrylead::agreement

#endif
