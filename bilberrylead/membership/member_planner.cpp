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

/// How many voters share a place; hosts that have not said where they stand
/// share none.
struct crowding
{
    std::size_t in_region = 0;
    std::size_t in_zone = 0;

    friend auto operator<=>(crowding const&, crowding const&) = default;
};

bool answers(planned_host const& host, member_planner_settings const& settings)
{
    return host.leader ||
           (host.linked && host.silent_for < settings.replace_after);
}

/// Voters that answer, beside one host and in its places.
crowding crowding_of(planned_host const& host,
                     std::vector<planned_host> const& hosts,
                     member_planner_settings const& settings)
{
    crowding found;
    for (planned_host const& other : hosts)
    {
        bool const counts =
            other.voter && other.host != host.host && answers(other, settings);
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

/// The host without a vote that is best placed for one.
planned_host const* best_learner(std::vector<planned_host> const& hosts,
                                 member_planner_settings const& settings)
{
    planned_host const* best = nullptr;
    crowding least;
    for (planned_host const& host : hosts)
    {
        bool const fit = host.member && !host.voter && host.caught_up &&
                         !host.becomes_voter && answers(host, settings);
        if (!fit)
        {
            continue;
        }
        crowding const around = crowding_of(host, hosts, settings);
        if (best == nullptr || around < least)
        {
            best = &host;
            least = around;
        }
    }
    return best;
}

/// The voter that the group misses least: silent ones first, the longest
/// silent of them; then the one in the most crowded place.
planned_host const* least_needed_voter(std::vector<planned_host> const& hosts,
                                       member_planner_settings const& settings)
{
    planned_host const* worst = nullptr;
    std::tuple<duration, crowding> most;
    for (planned_host const& host : hosts)
    {
        if (!host.voter || host.leader)
        {
            continue;
        }
        duration const silence =
            answers(host, settings) ? duration::zero() : host.silent_for;
        std::tuple<duration, crowding> const weight{
            silence, crowding_of(host, hosts, settings)};
        if (worst == nullptr || weight > most)
        {
            worst = &host;
            most = weight;
        }
    }
    return worst;
}

/// True if the voters stand further apart with this host in the place of
/// the most crowded one: after a region was away, the others hold its votes.
bool spreads_better(planned_host const& joining,
                    std::vector<planned_host> const& hosts,
                    member_planner_settings const& settings)
{
    planned_host const* const leaving = least_needed_voter(hosts, settings);
    return leaving != nullptr && crowding_of(joining, hosts, settings) <
                                     crowding_of(*leaving, hosts, settings);
}

/// A member without a vote that does not answer any more is not sent to for
/// ever; one that should have become a voter makes room for another.
std::optional<membership_change_requested>
forget_silent(std::vector<planned_host> const& hosts,
              member_planner_settings const& settings)
{
    for (planned_host const& host : hosts)
    {
        duration const longest =
            host.becomes_voter ? settings.replace_after : settings.forget_after;
        if (host.member && !host.voter && host.silent_for >= longest)
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

std::size_t wanted_voters(std::vector<planned_host> const& hosts,
                          member_planner_settings const& settings)
{
    std::size_t const losses = std::max({std::size_t{settings.losses.hosts},
                                         std::size_t{settings.losses.zones},
                                         std::size_t{settings.losses.regions}});
    std::size_t const wanted = std::min(2 * losses + 1, settings.most_voters);
    std::size_t const alive = static_cast<std::size_t>(
        std::count_if(hosts.begin(), hosts.end(),
                      [&settings](planned_host const& host)
                      {
                          return answers(host, settings);
                      }));

    // Fewer hosts than wanted: an even number survives no more losses than
    // one less. Never fewer voters than there are, though: those that are
    // silent may come back with what only they hold.
    std::size_t const odd =
        alive % 2 == 0 ? alive - std::min<std::size_t>(alive, 1) : alive;
    return std::max(std::min(wanted, odd),
                    std::min(wanted, count_voters(hosts)));
}

std::optional<membership_change_requested>
next_change(std::vector<planned_host> const& hosts,
            member_planner_settings const& settings)
{
    // Whoever is there takes part, as a learner first.
    for (planned_host const& host : hosts)
    {
        if (!host.member && host.linked)
        {
            return change(membership_action::add_learner, host);
        }
    }

    std::size_t const voters = count_voters(hosts);
    std::size_t const wanted = wanted_voters(hosts, settings);
    bool const has_silent_voter =
        std::any_of(hosts.begin(), hosts.end(),
                    [&settings](planned_host const& host)
                    {
                        return host.voter && !answers(host, settings);
                    });
    if (voters > wanted)
    {
        planned_host const* const leaving = least_needed_voter(hosts, settings);
        return leaving == nullptr
                   ? std::nullopt
                   : std::optional(change(membership_action::remove, *leaving));
    }
    planned_host const* const joining = best_learner(hosts, settings);
    if (joining != nullptr && (voters < wanted || has_silent_voter))
    {
        return change(membership_action::add_voter, *joining);
    }
    if (joining != nullptr && voters == wanted && !has_silent_voter &&
        spreads_better(*joining, hosts, settings))
    {
        return change(membership_action::add_voter, *joining);
    }
    return forget_silent(hosts, settings);
}

} // namespace bilberrylead::membership
