#include "bilberrylead/config/routes.hpp"

#include "bilberrylead/config/configuration.hpp"
#include "bilberrylead/config/matches.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <cstddef>
#include <iterator>
#include <map>
#include <utility>

namespace bilberrylead::config
{

namespace
{

std::string to_text(labels const& value)
{
    std::string text;
    for (labels::value_type const& each : value)
    {
        text += fmt::format("{}{}={}", text.empty() ? "" : ", ", each.first,
                            each.second);
    }
    return text.empty() ? "no labels" : text;
}

/// The wanted labels that the carried ones lack.
labels missing(labels const& wanted, labels const& carried)
{
    labels result;
    std::set_difference(wanted.begin(), wanted.end(), carried.begin(),
                        carried.end(), std::inserter(result, result.end()));
    return result;
}

std::string explain_selector(selector const& rule, labels const& caller)
{
    if (matches(rule.callers, caller))
    {
        return fmt::format("Selector \"{}\" matches: it asks callers for {} "
                           "and upstreams for {}.\n",
                           rule.name, to_text(rule.callers),
                           to_text(rule.upstreams));
    }
    return fmt::format("Selector \"{}\" does not match: the caller lacks "
                       "{}.\n",
                       rule.name, to_text(missing(rule.callers, caller)));
}

std::string explain_zone(route_zone const& zone)
{
    std::string names;
    for (upstream const* const each : zone.upstreams)
    {
        names +=
            fmt::format("{}{}{}", names.empty() ? "" : ", ", each->id.text(),
                        each->leaving ? " (leaving)" : "");
    }
    return fmt::format("Zone {} (region {}): {}.\n", zone.zone.text(),
                       zone.region.text(), names);
}

} // namespace

std::shared_ptr<routes const>
routes::compile(std::shared_ptr<configuration const> source)
{
    return std::shared_ptr<routes const>(new routes(std::move(source)));
}

routes::routes(std::shared_ptr<configuration const> source)
    : content(std::move(source))
{
    assert(this->content != nullptr);
    for (place const& each : this->content->places)
    {
        this->regions[each.zone] = each.region;
    }
    for (service const& each : this->content->services)
    {
        this->services[each.id];
    }
    for (selector const& each : this->content->selectors)
    {
        this->services[each.service].selectors.push_back(&each);
    }
    for (upstream const& each : this->content->upstreams)
    {
        this->services[each.service].upstreams.push_back(&each);
    }
    for (std::unordered_map<service_id, service_routes>::value_type& each :
         this->services)
    {
        this->compile_classes(each.second);
    }
}

void routes::compile_classes(service_routes& of) const
{
    // Each known class of callers, and callers without any label.
    selector_set const unlabelled = matching(of, {});
    of.by_selectors.emplace(unlabelled, this->make_route(of, unlabelled));
    for (caller_block const& each : this->content->callers)
    {
        selector_set const set = matching(of, each.labels);
        if (!of.by_selectors.contains(set))
        {
            of.by_selectors.emplace(set, this->make_route(of, set));
        }
    }
}

route routes::make_route(service_routes const& of,
                         selector_set const& set) const
{
    std::map<zone_id, route_zone> zones;
    for (upstream const* const each : of.upstreams)
    {
        bool reached = of.selectors.empty();
        for (std::size_t index = 0; index < of.selectors.size(); ++index)
        {
            reached =
                reached || (set[index] && matches(*of.selectors[index], *each));
        }
        if (reached)
        {
            route_zone& zone = zones[each->zone];
            zone.zone = each->zone;
            zone.region = this->regions.at(each->zone);
            zone.upstreams.push_back(each);
        }
    }
    route result;
    for (std::map<zone_id, route_zone>::value_type& each : zones)
    {
        result.zones.push_back(std::move(each.second));
    }
    return result;
}

routes::selector_set routes::matching(service_routes const& of,
                                      labels const& caller)
{
    selector_set set;
    for (selector const* const each : of.selectors)
    {
        set.push_back(matches(each->callers, caller));
    }
    return set;
}

route const* routes::find(service_id const& service, labels const& caller) const
{
    auto const found = this->services.find(service);
    if (found == this->services.end())
    {
        return nullptr;
    }
    selector_set const set = matching(found->second, caller);
    auto const compiled = found->second.by_selectors.find(set);
    bool const reaches_some = compiled != found->second.by_selectors.end() &&
                              !compiled->second.zones.empty();
    return reaches_some ? &compiled->second : nullptr;
}

std::string routes::explain(service_id const& service,
                            labels const& caller) const
{
    auto const found = this->services.find(service);
    if (found == this->services.end())
    {
        return fmt::format("No service is called \"{}\".\n", service.text());
    }
    std::string text = fmt::format("The caller carries {}.\n", to_text(caller));
    if (found->second.selectors.empty())
    {
        text += "The service has no selector, so every caller reaches all "
                "of its upstreams.\n";
    }
    for (selector const* const each : found->second.selectors)
    {
        text += explain_selector(*each, caller);
    }
    route const reached =
        this->make_route(found->second, matching(found->second, caller));
    if (reached.zones.empty())
    {
        text += "It reaches no upstream.\n";
    }
    for (route_zone const& each : reached.zones)
    {
        text += explain_zone(each);
    }
    return text;
}

} // namespace bilberrylead::config
