#ifndef BILBERRYLEAD_POLICY_HOME_SCOPE_HPP
#define BILBERRYLEAD_POLICY_HOME_SCOPE_HPP

#include "bilberrylead/config/object_homes.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/policy/home_scope_settings.hpp"
#include "bilberrylead/policy/object_count.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace bilberrylead::policy
{

/// Decides whether the objects of a service have their homes among the
/// upstreams of this entry host's zone or of its region.
///
/// Load it handles: traffic between zones is expensive, and upstreams cache a
/// few objects each. Homes in the zone avoid crossings, but only if the zone's
/// caches hold all objects; otherwise the objects evict each other. Every
/// change of the scope causes a burst of cold runs, and each host decides alone
/// from the requests that it sees. So that hosts of a zone agree, the decision
/// depends on the estimated number of objects rather than on the host's
/// requests, and near the bound on the estimate of a longer time rather than on
/// the scope that a host has had. Fixed memory, no allocation.
///
/// A host that knows nothing uses the homes of the region. Each of them is the
/// home in one of the zones too, so its requests do not run cold where other
/// hosts use the homes of their zones.
class home_scope
{
public:
    /// Creates the scope of a service whose upstreams cache that many objects
    /// each (at least 1).
    explicit home_scope(std::uint32_t remembered_objects,
                        home_scope_settings const& settings = {});

    /// Records a request that was placed in the own region; `object` is 0 if it
    /// names none. A request that is repeated must be recorded once.
    void record(std::uint64_t object, instant now);

    /// True if the last decision is so old that another one is due.
    bool is_due(instant now) const
    {
        return !this->decided_at.has_value() ||
               now - *this->decided_at >= this->settings.interval;
    }

    /// Decides anew, given the number of upstreams of the own zone and of its
    /// region that may receive requests. Returns true if the scope changed.
    bool update(std::size_t zone_upstreams, std::size_t region_upstreams,
                instant now);

    /// The scope in force.
    config::object_homes current() const
    {
        return this->scope;
    }

    /// Estimated number of distinct objects requested lately.
    double distinct_objects(instant now) const
    {
        return this->objects.estimate(now).count;
    }

    /// Number of upstreams whose caches hold all of these objects, by the last
    /// decision.
    std::uint32_t required_upstreams() const
    {
        return this->required;
    }

private:
    config::object_homes decide(std::size_t zone_upstreams, instant now);

    home_scope_settings settings;
    double remembered;
    object_count objects;
    config::object_homes scope = config::object_homes::region;
    std::uint32_t required = 0;
    std::optional<instant> first_request_at;
    std::optional<instant> changed_at;
    /// Since when the estimate favours the other scope without being clear.
    std::optional<instant> other_since;
    std::optional<instant> decided_at;
};

} // namespace bilberrylead::policy

#endif
