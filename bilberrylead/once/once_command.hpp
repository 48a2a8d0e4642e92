#ifndef BILBERRYLEAD_ONCE_ONCE_COMMAND_HPP
#define BILBERRYLEAD_ONCE_ONCE_COMMAND_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/once/claim_key.hpp"
#include "bilberrylead/once/recorded_answer.hpp"

#include <cstdint>
#include <variant>

namespace bilberrylead::once
{

/// Asks for the right to run a piece of work. Sent again with the same
/// request when its answer was lost; the request is forwarded once at most,
/// whatever number of times it is granted.
struct claim
{
    /// The work.
    claim_key key;
    /// Digest of the request's body: a key with another body is refused.
    std::uint64_t body_digest = 0;
    /// The request that would run it; never used again by another.
    request_id request;
    /// The entry host that would forward it.
    host_id entry_host;
    /// That entry host's incarnation, as it registered.
    std::uint64_t incarnation = 0;

    friend bool operator==(claim const&, claim const&) = default;
};

/// The holder has the whole answer.
struct complete
{
    /// The work.
    claim_key key;
    /// The request that holds the claim.
    request_id request;
    /// What the upstream answered.
    recorded_answer answer;

    friend bool operator==(complete const&, complete const&) = default;
};

/// The holder says that no byte reached an upstream and none will; another
/// request may claim the work.
struct release
{
    /// The work.
    claim_key key;
    /// The request that holds the claim, or gave up waiting for it.
    request_id request;

    friend bool operator==(release const&, release const&) = default;
};

/// The holder forwarded the request and cannot learn its answer.
struct mark_unknown
{
    /// The work.
    claim_key key;
    /// The request that holds the claim.
    request_id request;

    friend bool operator==(mark_unknown const&, mark_unknown const&) = default;
};

/// A process of an entry host started, or the platform says that it is
/// gone: what earlier incarnations hold open may have run, and nobody will
/// say so.
struct register_entry_host
{
    /// The entry host.
    host_id entry_host;
    /// The incarnation that is valid from now on; must grow.
    std::uint64_t incarnation = 0;

    friend bool operator==(register_entry_host const&,
                           register_entry_host const&) = default;
};

/// Time that the leader measured on its monotonic clock since its last
/// such command. Time in which nobody led is missing, so that records live
/// longer, never shorter.
struct advance_time
{
    /// Time that went by; at most once_settings::largest_time_step counts.
    duration elapsed{};

    friend bool operator==(advance_time const&, advance_time const&) = default;
};

/// Everything that changes the run-at-most-once records.
using once_command = std::variant<claim, complete, release, mark_unknown,
                                  register_entry_host, advance_time>;

} // namespace bilberrylead::once

#endif
