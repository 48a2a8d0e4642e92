#ifndef BILBERRYLEAD_POLICY_UPSTREAM_REST_HPP
#define BILBERRYLEAD_POLICY_UPSTREAM_REST_HPP

#include "bilberrylead/core/time.hpp"
#include "bilberrylead/policy/upstream_rest_settings.hpp"

#include <cstdint>

namespace bilberrylead::policy
{

class generator;

/// Time during which an incarnation of an upstream wants no requests from this
/// entry host, and the gradual return to it afterwards.
///
/// Protects an overloaded upstream that refuses requests and asks to be left
/// alone. Requests that were moved to other upstreams meanwhile must not all
/// return in the same instant: each host extends the rest by a random time, and
/// then starts with one request in progress and one more for each answer.
class upstream_rest
{
public:
    /// Creates the state of an upstream that has asked for no rest.
    explicit upstream_rest(upstream_rest_settings const& settings = {});

    /// Applies a request for `time` of rest, received at `now`. A rest that
    /// would end earlier than the current one changes nothing. Returns true if
    /// the end moved.
    bool request(duration time, instant now, generator& random);

    /// True if no request may be sent.
    bool is_resting(instant now) const
    {
        return now < this->end;
    }

    /// Time until the end of the rest; zero if there is none.
    duration remaining(instant now) const;

    /// Most requests of this host that may be in progress at the upstream: 0
    /// during the rest, unlimited if there is none to recover from.
    std::uint32_t max_in_flight(instant now) const;

    /// Records an answer of the upstream, which runs `slots` requests
    /// concurrently.
    void record_answer(std::uint32_t slots, instant now);

private:
    upstream_rest_settings settings;
    instant end{};
    // Requests that may be in progress after the rest; 0 for no bound.
    std::uint32_t ramp = 0;
};

} // namespace bilberrylead::policy

#endif
