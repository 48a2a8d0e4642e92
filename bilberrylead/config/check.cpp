#include "bilberrylead/config/check.hpp"

#include "bilberrylead/config/address_block.hpp"
#include "bilberrylead/config/configuration.hpp"
#include "bilberrylead/config/configuration_fields.hpp"
#include "bilberrylead/config/error_list.hpp"
#include "bilberrylead/config/field_checker.hpp"
#include "bilberrylead/config/matches.hpp"
#include "bilberrylead/config/nearest_name.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>

namespace bilberrylead::config
{

namespace
{

/// The names that one kind of thing defines.
class name_table
{
public:
    name_table(std::string_view kind_name, error_list& list)
        : kind(kind_name), errors(&list)
    {
    }

    /// Defines a name; twice is an error.
    void define(std::string const& name)
    {
        if (this->names.insert(name).second)
        {
            return;
        }
        this->errors->add(error_kind::duplicate_name, this->kind,
                          fmt::format("\"{}\" is defined twice.", name),
                          "Rename one of them or take it away.");
    }

    /// Reports a name that nothing defines; `user` says who refers to it.
    void resolve(std::string const& name, std::string_view user)
    {
        if (this->names.contains(name))
        {
            return;
        }
        std::vector<std::string> const known(this->names.begin(),
                                             this->names.end());
        std::string const nearest = nearest_name(name, known);
        this->errors->add(
            error_kind::unknown_name, user,
            fmt::format("\"{}\" is not among {}.", name, this->kind),
            nearest.empty() ? fmt::format("Define it in {}.", this->kind)
                            : fmt::format("Did you mean \"{}\"?", nearest));
    }

private:
    std::string_view kind;
    error_list* errors;
    std::set<std::string> names;
};

/// An aim that far above its route's timeout was written in another unit: no
/// answer could ever be as late.
constexpr std::chrono::seconds longest_aim_excess{60};

/// How an error names one element of a list.
std::string place_of(std::string_view list, std::string_view name)
{
    return fmt::format("{} \"{}\"", list, name);
}

/// Everything that `check` looks at, in one pass over each list.
class checker
{
public:
    checker(configuration const& value, error_list& list)
        : config(&value), errors(&list), services("services", list),
          zones("places", list), regions("regions of places", list),
          entry_hosts("entry_hosts", list), upstreams("upstreams", list),
          selectors("selectors", list), addresses("addresses", list),
          customers("customers", list)
    {
    }

    void run()
    {
        this->define_names();
        this->check_services();
        this->check_links();
        this->check_hosts();
        this->check_selectors();
        this->check_callers();
        this->check_routes();
        this->check_customers();
    }

private:
    void define_names()
    {
        std::set<std::string> region_names;
        for (service const& each : this->config->services)
        {
            this->services.define(each.id.text());
        }
        for (place const& each : this->config->places)
        {
            this->zones.define(each.zone.text());
            region_names.insert(each.region.text());
        }
        for (std::string const& name : region_names)
        {
            this->regions.define(name);
        }
        for (selector const& each : this->config->selectors)
        {
            this->selectors.define(each.name);
        }
    }

    void check_services()
    {
        for (service const& each : this->config->services)
        {
            if (each.guarded && each.idempotent)
            {
                this->errors->add(error_kind::bad_value,
                                  place_of("services", each.id.text()),
                                  "A guarded service is not idempotent.",
                                  "Set idempotent or guarded to false.");
            }
        }
    }

    void check_links()
    {
        std::set<std::pair<region_id, region_id>> seen;
        for (region_link const& each : this->config->links)
        {
            std::string const place =
                place_of("links", each.from.text() + "-" + each.to.text());
            this->regions.resolve(each.from.text(), place);
            this->regions.resolve(each.to.text(), place);
            if (each.from == each.to)
            {
                this->errors->add(error_kind::bad_value, place,
                                  "The link ends where it starts.",
                                  "Name two regions.");
            }
            if (!seen.insert(std::minmax(each.from, each.to)).second)
            {
                this->errors->add(error_kind::duplicate_name, place,
                                  "The two regions have a link already.",
                                  "Keep one; it counts both ways.");
            }
        }
    }

    void check_hosts()
    {
        for (entry_host const& each : this->config->entry_hosts)
        {
            std::string const place = place_of("entry_hosts", each.id.text());
            this->entry_hosts.define(each.id.text());
            this->zones.resolve(each.zone.text(), place);
            this->addresses.define(to_string(each.address));
            this->addresses.define(to_string(each.peer_address));
        }
        for (upstream const& each : this->config->upstreams)
        {
            std::string const place = place_of("upstreams", each.id.text());
            this->upstreams.define(each.id.text());
            this->zones.resolve(each.zone.text(), place);
            this->services.resolve(each.service.text(), place);
            this->addresses.define(to_string(each.address));
        }
    }

    /// A label with a slip in it would cut its callers off without a word.
    void check_selectors()
    {
        for (selector const& each : this->config->selectors)
        {
            std::string const place = place_of("selectors", each.name);
            this->services.resolve(each.service.text(), place);
            bool const any = std::any_of(this->config->upstreams.begin(),
                                         this->config->upstreams.end(),
                                         [&each](upstream const& candidate)
                                         {
                                             return matches(each, candidate);
                                         });
            if (!any)
            {
                this->errors->add(
                    error_kind::unknown_name, place,
                    fmt::format("No upstream of service \"{}\" carries "
                                "these labels.",
                                each.service.text()),
                    "Mend its labels, label an upstream, or take the "
                    "selector away.");
            }
        }
    }

    void check_callers()
    {
        std::map<address_block, std::string> seen;
        for (caller_block const& each : this->config->callers)
        {
            std::string const place = place_of("callers", each.block);
            this->zones.resolve(each.zone.text(), place);
            std::optional<address_block> const block =
                parse_address_block(each.block);
            if (!block.has_value())
            {
                this->errors->add(error_kind::bad_value, place,
                                  "This is no address block.",
                                  "Write 10.1.0.0/16 or 2001:db8::/32.");
                continue;
            }
            if (masked(*block) != *block)
            {
                this->errors->add(
                    error_kind::bad_value, place,
                    "The address has bits below the prefix.",
                    fmt::format("Write {}.", to_string(masked(*block))));
            }
            if (!seen.emplace(masked(*block), each.block).second)
            {
                this->errors->add(error_kind::duplicate_name, place,
                                  "The block is defined twice.",
                                  "Take one of them away.");
            }
        }
    }

    void check_routes()
    {
        std::set<std::pair<std::string, std::string>> seen;
        for (request_route const& each : this->config->request_routes)
        {
            std::string const place =
                place_of("request_routes", each.host + each.path_prefix);
            if (!each.path_prefix.starts_with('/') ||
                !each.path_prefix.ends_with('/'))
            {
                this->errors->add(error_kind::bad_value, place,
                                  "The prefix does not stand between slashes.",
                                  "Write / or /name/.");
            }
            if (!seen.insert({each.host, each.path_prefix}).second)
            {
                this->errors->add(error_kind::duplicate_name, place,
                                  "The host has this prefix already.",
                                  "Take one of the two routes away.");
            }
            this->check_targets(each, place);
            if (each.aim >= each.timeout + longest_aim_excess)
            {
                this->errors->add(
                    error_kind::bad_value, place,
                    "The aim lies a minute or more above the timeout.",
                    "Mend the unit of one of the two.");
            }
        }
    }

    /// A route whose targets get nothing would refuse all of its requests.
    void check_targets(request_route const& route, std::string const& place)
    {
        std::uint64_t sum = 0;
        for (route_target const& each : route.targets)
        {
            this->services.resolve(each.service.text(), place);
            sum += each.weight;
        }
        if (sum == 0)
        {
            this->errors->add(error_kind::bad_value, place,
                              "The weights of its targets add up to 0.",
                              "Give at least one target a weight over 0.");
        }
    }

    void check_customers()
    {
        if (!this->config->customers.empty() &&
            this->config->request_routes.empty())
        {
            this->errors->add(error_kind::missing_field, "request_routes",
                              "There are customers and no request routes, so "
                              "that no request would need a key.",
                              "Define the routes of the customers' requests.");
        }
        std::unordered_map<std::string_view, customer const*> holders;
        for (customer const& each : this->config->customers)
        {
            std::string const place = place_of("customers", each.id.text());
            this->customers.define(each.id.text());
            this->check_regions(each.regions, place);
            for (std::string const& key : each.keys)
            {
                customer const* const holder =
                    holders.try_emplace(key, &each).first->second;
                if (holder != &each)
                {
                    this->errors->add(
                        error_kind::duplicate_name, place + ".keys",
                        fmt::format("Customer \"{}\" holds one of its keys.",
                                    holder->id.text()),
                        "Give each customer keys of its own.");
                }
            }
        }
    }

    /// Without places in the configuration, the settings of the hosts name
    /// the regions.
    void check_regions(std::vector<region_id> const& used,
                       std::string const& place)
    {
        if (this->config->places.empty())
        {
            return;
        }
        for (region_id const& region : used)
        {
            this->regions.resolve(region.text(), place + ".regions");
        }
    }

    configuration const* config;
    error_list* errors;
    name_table services;
    name_table zones;
    name_table regions;
    name_table entry_hosts;
    name_table upstreams;
    name_table selectors;
    name_table addresses;
    name_table customers;
};

bool has_new_work_upstream(configuration const& value, service_id const& id)
{
    return std::any_of(value.upstreams.begin(), value.upstreams.end(),
                       [&id](upstream const& each)
                       {
                           return each.service == id && !each.leaving;
                       });
}

bool has_matching_caller(configuration const& value, selector const& rule)
{
    return rule.callers.empty() ||
           std::any_of(value.callers.begin(), value.callers.end(),
                       [&rule](caller_block const& each)
                       {
                           return matches(rule.callers, each.labels);
                       });
}

} // namespace

absl::Status check(configuration const& value)
{
    error_list errors("");
    field_checker fields("", errors);
    visit_fields(fields, value);
    checker(value, errors).run();
    return errors.status();
}

std::vector<std::string> warnings(configuration const& value)
{
    std::vector<std::string> found;
    for (service const& each : value.services)
    {
        if (!has_new_work_upstream(value, each.id))
        {
            found.push_back(fmt::format(
                "Service \"{}\" has no upstream that takes new work.",
                each.id.text()));
        }
    }
    for (selector const& each : value.selectors)
    {
        if (!has_matching_caller(value, each))
        {
            found.push_back(fmt::format(
                "Selector \"{}\" matches no block of callers.", each.name));
        }
    }
    return found;
}

} // namespace bilberrylead::config
