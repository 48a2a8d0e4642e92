#ifndef BILBERRYLEAD_POLICY_UPSTREAM_PLACEMENT_HPP
#define BILBERRYLEAD_POLICY_UPSTREAM_PLACEMENT_HPP

#include "bilberrylead/core/time.hpp"
#include "bilberrylead/policy/placement_candidate.hpp"
#include "bilberrylead/policy/placement_request.hpp"
#include "bilberrylead/policy/placement_settings.hpp"
#include "bilberrylead/policy/placement_verdict.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace bilberrylead::policy
{

class generator;

/// Chooses the upstream of a request that many entry hosts could send
/// anywhere, without any of them knowing the others' requests.
///
/// Load it answers: requests about objects, on upstreams that are faster
/// with an object which they handled lately, near or beyond what all slots
/// carry. Sent by load alone every upstream sees every object, none is in
/// its cache, and the same slots serve less. Sent by object alone, one
/// popular object fills one upstream. Here each object has an order of
/// upstreams, the same on all entry hosts (rendezvous hashing: few objects
/// move when an upstream comes or goes), and a request goes where it is
/// expected to be answered first: the wait for a slot, the run, longer
/// where the object is not known, and the way there and back.
///
/// What would come too late everywhere is refused at once: a slot that
/// works on it would make the next ones late as well.
class upstream_placement
{
public:
    /// Places by `settings`.
    explicit upstream_placement(placement_settings const& settings = {});

    /// Decides for one request.
    placement_verdict place(std::span<placement_candidate const> candidates,
                            placement_request const& request,
                            generator& random) const;

    /// Expected time until a slot of the candidate is free.
    static duration expected_wait(placement_candidate const& candidate);

private:
    /// The first two upstreams of an object in one region.
    struct preferred_upstreams
    {
        std::optional<std::size_t> first;
        std::optional<std::size_t> second;
    };

    static preferred_upstreams
    find_preferred_upstreams(std::span<placement_candidate const> candidates,
                             placement_request const& request,
                             std::uint32_t region);
    double run_factor(placement_candidate const& candidate, std::size_t index,
                      preferred_upstreams const& preferred,
                      placement_request const& request) const;

    placement_settings settings;
};

} // namespace bilberrylead::policy

#endif
