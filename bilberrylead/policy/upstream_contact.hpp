#ifndef BILBERRYLEAD_POLICY_UPSTREAM_CONTACT_HPP
#define BILBERRYLEAD_POLICY_UPSTREAM_CONTACT_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"

#include <chrono>
#include <cstddef>
#include <map>
#include <set>

namespace bilberrylead::policy
{

/// Settings of `upstream_contact`.
struct upstream_contact_settings
{
    /// Different upstreams that must have failed, or all if there are fewer.
    std::size_t min_failed_upstreams = 4;
    /// Zones that these must be in, or all if there are fewer.
    std::size_t min_failed_zones = 2;
    /// Failures that are older count no more.
    duration window = std::chrono::seconds(2);
    /// Different upstreams that must accept connections again.
    std::size_t min_accepting_upstreams = 2;
};

/// What an outcome of a connection attempt changes.
enum class contact_change
{
    none,
    /// The way to all upstreams may be lost: others have to be probed.
    suspected,
    /// It is lost.
    lost,
    /// It is there again.
    restored,
};

/// Decides whether this host has lost its way to all upstreams, by the outcomes
/// of its connection attempts.
///
/// Load it handles: a host that is partitioned from every upstream while
/// callers and other hosts still reach it. Each upstream alone looks as if it
/// had ended; only that upstreams of several zones fail without one success in
/// between, and that others which are then probed fail as well, tells the
/// host's own way from theirs. A host that is overloaded, or whose upstreams
/// crashed in numbers, still has connections accepted.
class upstream_contact
{
public:
    explicit upstream_contact(upstream_contact_settings const& given = {});

    /// Sets how many upstreams and zones there are.
    void configure(std::size_t upstreams, std::size_t zones);

    /// Records a connection that the upstream accepted.
    contact_change record_accepted(upstream_id const& upstream);

    /// Records a connection that was refused, was reset or timed out.
    contact_change record_failed(upstream_id const& upstream,
                                 zone_id const& zone, instant now);

    /// Sets which upstreams are probed on a suspicion. The contact is lost once
    /// all of them have failed; at once if there are none.
    contact_change verify(std::set<upstream_id> probed);

    /// True if the upstream has failed recently.
    bool has_failed(upstream_id const& upstream) const
    {
        return this->failures.contains(upstream);
    }

    /// True while the way to all upstreams is lost.
    bool is_lost() const
    {
        return this->lost;
    }

private:
    contact_change end_verification();

    struct failure
    {
        zone_id zone;
        instant at{};
    };

    upstream_contact_settings settings;
    std::size_t upstreams = 0;
    std::size_t zones = 0;
    std::map<upstream_id, failure> failures;
    std::set<upstream_id> accepting;
    // Upstreams that are probed on a suspicion and have not failed yet.
    std::set<upstream_id> unverified;
    bool suspected = false;
    bool lost = false;
};

} // namespace bilberrylead::policy

#endif
