#ifndef BILBERRYLEAD_POLICY_CONNECTION_LOSSES_HPP
#define BILBERRYLEAD_POLICY_CONNECTION_LOSSES_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/policy/connection_loss_action.hpp"

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
class connection_losses
{
public:
    /// A request's connection to the upstream was lost while it may have
    /// run there.
    connection_loss_action record_loss(upstream_id const& upstream,
                                       std::uint64_t digest, instant now);

    /// The upstream refused a connection, or is listed no more. Returns the
    /// requests that it may have been running.
    std::vector<std::uint64_t> record_ended(upstream_id const& upstream,
                                            instant now);

    /// The upstream took a connection or answered.
    void record_responsive(upstream_id const& upstream);

    /// Upstreams of which it is not known yet whether they ended.
    std::vector<upstream_id> unresolved() const;

    /// Forgets losses that nothing confirmed in time.
    void expire(instant now);

private:
    struct loss
    {
        instant updated_at{};
        bool ended = false;
        std::set<std::uint64_t> digests;
    };

    std::map<upstream_id, loss> losses;
};

} // namespace bilberrylead::policy

#endif
