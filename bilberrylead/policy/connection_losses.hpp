#ifndef BILBERRYLEAD_POLICY_CONNECTION_LOSSES_HPP
#define BILBERRYLEAD_POLICY_CONNECTION_LOSSES_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/policy/connection_loss_action.hpp"
#include "bilberrylead/policy/lost_request.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace bilberrylead::policy
{

/// Distinguishes upstreams that ended from connections that were reset.
///
/// Failure it handles: a lost connection does not show whether its upstream
/// ended. If reset connections counted as crashes, harmless requests would be
/// classified as crashing. A loss therefore counts only once the upstream has
/// refused a connection or is no longer listed. It is discarded once the
/// upstream has answered a later request, or has accepted connections for a
/// while: the listener of a process that ends may outlive its connections.
///
/// An upstream may start again under its id. What it loses then is a loss of
/// its own: only requests that were sent before the end was known were lost
/// with it.
class connection_losses
{
public:
    /// Records that the connection of a request to the upstream was lost while
    /// the request may have been running there.
    connection_loss_action record_loss(upstream_id const& upstream,
                                       lost_request const& request,
                                       instant now);

    /// Records that the upstream refused a connection or is no longer listed.
    /// Returns the requests that it may have been running.
    std::vector<lost_request> record_ended(upstream_id const& upstream,
                                           instant now);

    /// Time of the first connection that was lost with the upstream; empty if
    /// none is known.
    std::optional<instant> lost_at(upstream_id const& upstream) const;

    /// Records that the upstream accepted a connection. Returns true if it has
    /// done so often enough to be taken as responsive; else it is to be probed
    /// again.
    bool record_accepted(upstream_id const& upstream, instant now);

    /// Records an answer of the upstream to a request that was sent at `sent`.
    /// Returns true if this shows that the upstream outlived its loss.
    bool record_answer(upstream_id const& upstream, instant sent);

    /// Upstreams that are to be probed again now, each once.
    std::vector<upstream_id> take_due_probes(instant now);

    /// Upstreams with a lost connection that are not yet known to have ended or
    /// to be responsive.
    std::vector<upstream_id> unresolved() const;

    /// Number of upstreams that lost connections under a request with this
    /// digest and are not yet known to have ended or to be responsive.
    std::size_t unresolved_of(std::uint64_t digest) const;

    /// Discards losses that were not confirmed in time, and old records of
    /// upstreams that ended.
    void expire(instant now);

private:
    struct loss
    {
        instant lost_at{};
        instant updated_at{};
        bool ended = false;
        // Connections that were accepted since the loss.
        unsigned accepted = 0;
        instant next_probe = instant::max();
        // When each request was sent last, by digest.
        std::map<std::uint64_t, instant> requests;
    };

    std::map<upstream_id, loss> losses;
};

} // namespace bilberrylead::policy

#endif
