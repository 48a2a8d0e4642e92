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

/// Requests the right to run a piece of work. Resent with the same request
/// id when the reply was lost; the request is forwarded at most once, however
/// often the claim is granted.
struct claim
{
    /// The key of the work.
    claim_key key;
    /// Digest of the request body; a reused key with a different body is
    /// refused.
    std::uint64_t body_digest = 0;
    /// The request that would run the work; its id is never reused.
    request_id request;
    /// The entry host that would forward the request.
    host_id entry_host;
    /// That entry host's incarnation, as it registered.
    std::uint64_t incarnation = 0;

    friend bool operator==(claim const&, claim const&) = default;
};

/// The holder has received the complete answer.
struct complete
{
    /// The key of the work.
    claim_key key;
    /// The request that holds the claim.
    request_id request;
    /// The upstream's answer.
    recorded_answer answer;

    friend bool operator==(complete const&, complete const&) = default;
};

/// The holder reports that no byte has reached an upstream and none will;
/// another request may claim the work.
struct release
{
    /// The key of the work.
    claim_key key;
    /// The request that holds the claim or has abandoned it.
    request_id request;

    friend bool operator==(release const&, release const&) = default;
};

/// The holder forwarded the request and cannot obtain its answer.
struct mark_unknown
{
    /// The key of the work.
    claim_key key;
    /// The request that holds the claim.
    request_id request;

    friend bool operator==(mark_unknown const&, mark_unknown const&) = default;
};

/// A process of an entry host has started, or the platform reports that it
/// has ended. Work whose claims previous incarnations hold open may have run,
/// and its outcome will not be reported.
struct register_entry_host
{
    /// The entry host.
    host_id entry_host;
    /// The incarnation that becomes valid; must be larger than the last one.
    std::uint64_t incarnation = 0;

    friend bool operator==(register_entry_host const&,
                           register_entry_host const&) = default;
};

/// Advances the log time by the time that the leader measured on its
/// monotonic clock since its previous command of this kind. Time without a
/// leader is not counted, so that records live longer, never shorter.
struct advance_time
{
    /// Elapsed time; only up to once_settings::max_time_step is counted.
    duration elapsed{};

    friend bool operator==(advance_time const&, advance_time const&) = default;
};

/// The commands that change the run-at-most-once records.
using once_command = std::variant<claim, complete, release, mark_unknown,
                                  register_entry_host, advance_time>;

} // namespace bilberrylead::once

#endif
