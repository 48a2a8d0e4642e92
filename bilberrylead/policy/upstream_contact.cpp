#include "bilberrylead/policy/upstream_contact.hpp"

#include <algorithm>
#include <utility>

namespace bilberrylead::policy
{

namespace
{

/// With a single upstream, its end looks the same as the end of the way to it.
constexpr std::size_t min_upstreams = 2;

} // namespace

upstream_contact::upstream_contact(upstream_contact_settings const& given)
    : settings(given)
{
}

void upstream_contact::configure(std::size_t upstream_count,
                                 std::size_t zone_count)
{
    this->upstreams = upstream_count;
    this->zones = zone_count;
}

contact_change upstream_contact::record_accepted(upstream_id const& upstream)
{
    this->failures.clear();
    this->suspected = false;
    if (!this->lost)
    {
        return contact_change::none;
    }
    this->accepting.insert(upstream);
    if (this->accepting.size() <
        std::min(this->settings.min_accepting_upstreams, this->upstreams))
    {
        return contact_change::none;
    }
    this->accepting.clear();
    this->lost = false;
    return contact_change::restored;
}

contact_change upstream_contact::record_failed(upstream_id const& upstream,
                                               zone_id const& zone, instant now)
{
    this->accepting.clear();
    if (this->lost || this->upstreams < min_upstreams)
    {
        return contact_change::none;
    }
    if (this->suspected)
    {
        this->unverified.erase(upstream);
        return this->end_verification();
    }
    std::erase_if(this->failures,
                  [this, now](auto const& entry)
                  {
                      return now - entry.second.at > this->settings.window;
                  });
    this->failures[upstream] = {zone, now};
    std::set<zone_id> failed_zones;
    for (auto const& [id, each] : this->failures)
    {
        failed_zones.insert(each.zone);
    }
    this->suspected =
        this->failures.size() >=
            std::min(this->settings.min_failed_upstreams, this->upstreams) &&
        failed_zones.size() >=
            std::min(this->settings.min_failed_zones, this->zones);
    return this->suspected ? contact_change::suspected : contact_change::none;
}

contact_change upstream_contact::verify(std::set<upstream_id> probed)
{
    this->unverified = std::move(probed);
    return this->end_verification();
}

contact_change upstream_contact::end_verification()
{
    if (!this->unverified.empty())
    {
        return contact_change::none;
    }
    this->failures.clear();
    this->suspected = false;
    this->lost = true;
    return contact_change::lost;
}

} // namespace bilberrylead::policy
