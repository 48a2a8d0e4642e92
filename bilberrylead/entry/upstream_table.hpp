#ifndef BILBERRYLEAD_ENTRY_UPSTREAM_TABLE_HPP
#define BILBERRYLEAD_ENTRY_UPSTREAM_TABLE_HPP

#include "bilberrylead/config/upstream.hpp"
#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/entry/least_in_flight.hpp"
#include "bilberrylead/entry/routing_table.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace bilberrylead::entry
{

/// What this entry host knows of the upstreams besides the configuration,
/// and the slots it holds there. Outlives configurations.
class upstream_table
{
public:
    /// Makes the table of an entry host in that zone.
    explicit upstream_table(zone_id own_zone);

    /// Notes that work was started there.
    void take_slot(upstream_id const& id);

    /// Notes that work has ended there.
    void free_slot(upstream_id const& id);

    /// Asks it last until then.
    void shun(upstream_id const& id, instant until);

    /// Gives it no new work until then, whatever the configuration says.
    void note_leaving(upstream_id const& id, instant until);

    /// True if it may get new work as far as is known here.
    bool takes_work(config::upstream const& upstream, instant now) const;

    /// Picks an upstream that the caller reaches, takes work and is not
    /// among `tried`; null if there is none with a free slot.
    config::upstream const*
    choose(std::vector<config::upstream const*> const& reachable,
           std::vector<upstream_id> const& tried, instant now);

    /// Slots held in all.
    std::size_t slots_in_use() const
    {
        return this->taken;
    }

private:
    struct upstream_state
    {
        std::uint32_t in_flight = 0;
        instant shunned_until{};
        instant leaving_until{};
    };

    zone_id zone;
    std::size_t taken = 0;
    std::unordered_map<upstream_id, upstream_state> states;
    least_in_flight choice;
    // Kept between calls, so that a choice allocates nothing.
    std::vector<upstream_candidate> candidates;
    std::vector<config::upstream const*> offered;
};

} // namespace bilberrylead::entry

#endif
