#ifndef BILBERRYLEAD_POLICY_LEAST_COMPLETION_CHOICE_HPP
#define BILBERRYLEAD_POLICY_LEAST_COMPLETION_CHOICE_HPP

#include "bilberrylead/policy/least_completion_choice_settings.hpp"
#include "bilberrylead/policy/upstream_choice.hpp"

namespace bilberrylead::policy
{

/// The product's own choice: the upstream with the least expected time to
/// completion, that is both ways of the link, the wait behind what it holds,
/// and its service time.
///
/// Load it answers: a slow upstream, distant upstreams, reports that lag or
/// lie. Without it a slow upstream gets a fast one's share and its callers
/// wait five times as long; least in flight sees the backlog only once it
/// is there. A report can only add to the own count, never take from it, so
/// an upstream that reports "idle" gains nothing over one that has no
/// report; and what it adds fades with its age.
class least_completion_choice
{
public:
    /// Makes a choice that follows `settings`.
    explicit least_completion_choice(
        least_completion_choice_settings const& settings = {})
        : settings(settings)
    {
    }

    /// Picks one; see upstream_choice.
    std::optional<std::size_t> choose(upstream_set const& set, instant now,
                                      generator& random) const;

    /// Expected time from sending a request to `upstream` until its answer
    /// is here.
    duration expected_completion(upstream_view const& upstream) const;

private:
    least_completion_choice_settings settings;
};

} // namespace bilberrylead::policy

#endif
