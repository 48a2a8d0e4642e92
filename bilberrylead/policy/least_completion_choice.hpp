#ifndef BILBERRYLEAD_POLICY_LEAST_COMPLETION_CHOICE_HPP
#define BILBERRYLEAD_POLICY_LEAST_COMPLETION_CHOICE_HPP

#include "bilberrylead/policy/least_completion_choice_settings.hpp"
#include "bilberrylead/policy/upstream_choice.hpp"

namespace bilberrylead::policy
{

/// The default policy: selects the upstream with the least expected completion
/// time, which is the network round trip, the wait behind the requests that the
/// upstream holds, and its service time.
///
/// Load it handles: a slow upstream, distant upstreams, and load reports that
/// are late or false. Without it, a slow upstream receives the same share as a
/// fast one and its callers wait five times as long; least_in_flight_choice
/// reacts only once the backlog has built up. A report can only add to the
/// in-flight count of this entry host, never reduce it, so that an upstream
/// that reports "idle" has no advantage over one without a report. The weight
/// of a report decreases with its age.
class least_completion_choice
{
public:
    /// Creates a policy that follows `settings`.
    explicit least_completion_choice(
        least_completion_choice_settings const& settings = {})
        : settings(settings)
    {
    }

    /// Selects an upstream; see upstream_choice.
    std::optional<std::size_t> choose(upstream_set const& set, instant now,
                                      generator& random) const;

    /// Expected time from sending a request to `upstream` until its answer
    /// arrives.
    duration expected_completion(upstream_view const& upstream) const;

private:
    least_completion_choice_settings settings;
};

} // namespace bilberrylead::policy

#endif
