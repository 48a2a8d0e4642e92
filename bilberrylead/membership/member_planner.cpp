#include "bilberrylead/membership/member_planner.hpp"

#include <algorithm>
#include <cstdint>
#include <tuple>

namespace bilberrylead::membership
{

namespace
{

using agreement::membership_action;
using agreement::membership_change_requested;

/// Number of voters in the same region and zone as a host. Hosts that have not
/// reported their location share it with none.
struct colocated_voters
{
    std::size_t in_region = 0;
    std::size_t in_zone = 0;

    friend auto operator<=>(colocated_voters const&,
                            colocated_voters const&) = default;
};

bool is_responsive(planned_host const& host,
                   member_planner_settings const& settings)
{
    return host.leader ||
           (host.linked && host.time_since_reply < settings.replace_after);
}

/// Counts the responsive voters, except the host itself, that are in its
/// region and zone.
colocated_voters colocated_voters_of(planned_host const& host,
                                     std::vector<planned_host> const& hosts,
                                     member_planner_settings const& settings)
{
    colocated_voters found;
    for (planned_host const& other : hosts)
    {
        bool const counts = other.voter && other.host != host.host &&
                            is_responsive(other, settings);
        if (counts && !host.region.empty() && other.region == host.region)
        {
            ++found.in_region;
        }
        if (counts && !host.zone.empty() && other.zone == host.zone)
        {
            ++found.in_zone;
        }
    }
    return found;
}

membership_change_requested change(membership_action action,
                                   planned_host const& host)
{
    membership_change_requested wanted;
    wanted.action = action;
    wanted.host = host.host;
    wanted.incarnation = host.incarnation;
    return wanted;
}

/// The learner that shares its region and zone with the fewest voters; null if
/// none can become a voter.
planned_host const* best_learner(std::vector<planned_host> const& hosts,
                                 member_planner_settings const& settings)
{
    planned_host const* best = nullptr;
    colocated_voters fewest;
    for (planned_host const& host : hosts)
    {
        bool const fit = host.member && !host.voter && host.caught_up &&
                         !host.becomes_voter && is_responsive(host, settings);
        if (!fit)
        {
            continue;
        }
        colocated_voters const colocated =
            colocated_voters_of(host, hosts, settings);
        if (best == nullptr || colocated < fewest)
        {
            best = &host;
            fewest = colocated;
        }
    }
    return best;
}

/// The voter that the group needs least: first the one that has been
/// unresponsive longest, then the one that shares its region and zone with the
/// most voters. Never the leader.
planned_host const* least_needed_voter(std::vector<planned_host> const& hosts,
                                       member_planner_settings const& settings)
{
    planned_host const* worst = nullptr;
    std::tuple<duration, colocated_voters> most;
    for (planned_host const& host : hosts)
    {
        if (!host.voter || host.leader)
        {
            continue;
        }
        duration const unresponsive_time = is_responsive(host, settings)
                                               ? duration::zero()
                                               : host.time_since_reply;
        std::tuple<duration, colocated_voters> const weight{
            unresponsive_time, colocated_voters_of(host, hosts, settings)};
        if (worst == nullptr || weight > most)
        {
            worst = &host;
            most = weight;
        }
    }
    return worst;
}

/// True if the voters are spread better with this host in place of the least
/// needed voter. This is the case after a region was unreachable and its votes
/// were given to hosts in other regions.
bool improves_spread(planned_host const& joining,
                     std::vector<planned_host> const& hosts,
                     member_planner_settings const& settings)
{
    planned_host const* const leaving = least_needed_voter(hosts, settings);
    return leaving != nullptr &&
           colocated_voters_of(joining, hosts, settings) <
               colocated_voters_of(*leaving, hosts, settings);
}

/// Removes a member without a vote that no longer responds, so that entries
/// are not sent to it forever. One that was to become a voter is removed
/// earlier, so that another host can take its place.
std::optional<membership_change_requested>
remove_unresponsive(std::vector<planned_host> const& hosts,
                    member_planner_settings const& settings)
{
    for (planned_host const& host : hosts)
    {
        duration const longest =
            host.becomes_voter ? settings.replace_after : settings.remove_after;
        if (host.member && !host.voter && host.time_since_reply >= longest)
        {
            return change(membership_action::remove, host);
        }
    }
    return std::nullopt;
}

std::size_t count_voters(std::vector<planned_host> const& hosts)
{
    return static_cast<std::size_t>(std::count_if(hosts.begin(), hosts.end(),
                                                  [](planned_host const& host)
                                                  {
                                                      return host.voter ||
                                                             host.becomes_voter;
                                                  }));
}

} // namespace

std::size_t target_voter_count(std::vector<planned_host> const& hosts,
                               member_planner_settings const& settings)
{
    std::size_t const losses = std::max({std::size_t{settings.losses.hosts},
                                         std::size_t{settings.losses.zones},
                                         std::size_t{settings.losses.regions}});
    std::size_t const wanted = std::min(2 * losses + 1, settings.max_voters);
    std::size_t const responsive = static_cast<std::size_t>(
        std::count_if(hosts.begin(), hosts.end(),
                      [&settings](planned_host const& host)
                      {
                          return is_responsive(host, settings);
                      }));

    // With fewer hosts than wanted, an odd number of voters is used: an even
    // number survives no more losses than one voter less. The number of
    // voters is never reduced for that, since unresponsive ones may return
    // with entries that only they hold.
    std::size_t const odd =
        responsive % 2 == 0 ? responsive - std::min<std::size_t>(responsive, 1)
                            : responsive;
    return std::max(std::min(wanted, odd),
                    std::min(wanted, count_voters(hosts)));
}

std::optional<membership_change_requested>
next_change(std::vector<planned_host> const& hosts,
            member_planner_settings const& settings)
{
    // Every linked host becomes a member, as a learner first.
    for (planned_host const& host : hosts)
    {
        if (!host.member && host.linked)
        {
            return change(membership_action::add_learner, host);
        }
    }

    std::size_t const voters = count_voters(hosts);
    std::size_t const wanted = target_voter_count(hosts, settings);
    bool const has_unresponsive_voter =
        std::any_of(hosts.begin(), hosts.end(),
                    [&settings](planned_host const& host)
                    {
                        return host.voter && !is_responsive(host, settings);
                    });
    if (voters > wanted)
    {
        planned_host const* const leaving = least_needed_voter(hosts, settings);
        return leaving == nullptr
                   ? std::nullopt
                   : std::optional(change(membership_action::remove, *leaving));
    }
    planned_host const* const joining = best_learner(hosts, settings);
    if (joining != nullptr && (voters < wanted || has_unresponsive_voter))
    {
        return change(membership_action::add_voter, *joining);
    }
    if (joining != nullptr && voters == wanted && !has_unresponsive_voter &&
        improves_spread(*joining, hosts, settings))
    {
        return change(membership_action::add_voter, *joining);
    }
    return remove_unresponsive(hosts, settings);
}

} // namespace bilberrylead::membership
