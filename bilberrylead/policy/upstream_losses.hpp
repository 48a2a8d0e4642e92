#ifndef BILBERRYLEAD_POLICY_UPSTREAM_LOSSES_HPP
#define BILBERRYLEAD_POLICY_UPSTREAM_LOSSES_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/policy/loss_step.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace bilberrylead::policy
{

/// Tells upstreams that ended from connections that were reset.
///
/// Failure it answers: a lost connection says nothing about its upstream.
/// Reset connections counted as crashes would convict innocent requests, so
/// that a loss counts only once a connection was refused, or the listing has
/// the upstream no more.
class upstream_losses
{
public:
    /// A request's connection to the upstream was lost while it may have
    /// run there.
    loss_step note_loss(upstream_id const& upstream, std::uint64_t digest,
                        instant now);

    /// The upstream refused a connection, or is listed no more. Returns the
    /// requests that it may have been running.
    std::vector<std::uint64_t> note_ended(upstream_id const& upstream,
                                          instant now);

    /// The upstream took a connection or answered.
    void note_alive(upstream_id const& upstream);

    /// Upstreams of which it is not known yet whether they ended.
    std::vector<upstream_id> open() const;

    /// Forgets losses that nothing confirmed in time.
    void expire(instant now);

private:
    struct loss
    {
        instant since{};
        bool ended = false;
        std::set<std::uint64_t> digests;
    };

    std::map<upstream_id, loss> losses;
};

} // namespace bilberrylead::policy

#endif
