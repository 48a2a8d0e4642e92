#include "bilberrylead/ctl/explain_commands.hpp"

#include "bilberrylead/config/address_block.hpp"
#include "bilberrylead/config/check.hpp"
#include "bilberrylead/config/configuration.hpp"
#include "bilberrylead/config/configuration_change.hpp"
#include "bilberrylead/config/diff.hpp"
#include "bilberrylead/config/parse_configuration.hpp"
#include "bilberrylead/config/routes.hpp"
#include "bilberrylead/core/error.hpp"
#include "bilberrylead/ctl/accepted_configuration.hpp"
#include "bilberrylead/ctl/report.hpp"
#include "bilberrylead/daemon/run_daemon.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace bilberrylead::ctl
{

namespace
{

char const* name_of(config::change_kind kind)
{
    switch (kind)
    {
    case config::change_kind::added:
        return "added";
    case config::change_kind::removed:
        return "removed";
    case config::change_kind::changed:
        break;
    }
    return "changed";
}

/// The accepted configuration, read; an empty one before the first revision.
absl::StatusOr<config::configuration>
read_accepted(accepted_configuration const& accepted)
{
    if (accepted.number == 0)
    {
        return config::configuration{};
    }
    return config::parse_configuration(accepted.document,
                                       "the accepted configuration");
}

/// The smallest block that holds the address, as entry hosts choose it.
config::caller_block const* block_of(config::configuration const& accepted,
                                     config::ip_address const& caller)
{
    config::caller_block const* best = nullptr;
    int best_bits = -1;
    for (config::caller_block const& each : accepted.callers)
    {
        std::optional<config::address_block> const block =
            config::parse_address_block(each.block);
        if (block.has_value() && config::contains(*block, caller) &&
            block->prefix_bits > best_bits)
        {
            best = &each;
            best_bits = block->prefix_bits;
        }
    }
    return best;
}

absl::StatusOr<config::ip_address> read_caller(std::string const& caller)
{
    std::optional<config::ip_address> const address =
        config::parse_ip_address(caller);
    if (!address.has_value())
    {
        return make_error(error_kind::bad_value,
                          fmt::format("'{}' is no IP address.", caller),
                          "Write it as 192.0.2.1 or 2001:db8::1.");
    }
    return *address;
}

bool has_service(config::configuration const& accepted, service_id const& id)
{
    return std::any_of(accepted.services.begin(), accepted.services.end(),
                       [&id](config::service const& each)
                       {
                           return each.id == id;
                       });
}

void print_explanation(command_line const& line, std::uint64_t number,
                       caller_explanation const& found)
{
    if (line.output == output_form::json)
    {
        print_json({{"revision", number},
                    {"service", line.subject},
                    {"caller", line.second_subject},
                    {"block", found.block},
                    {"zone", found.zone},
                    {"upstreams", found.upstreams},
                    {"reasons", found.reasons}});
        return;
    }
    if (found.block.empty())
    {
        fmt::print("Revision {}: no caller block holds {}.\n", number,
                   line.second_subject);
    }
    else
    {
        fmt::print("Revision {}: {} is in block {}, nearest to zone {}.\n",
                   number, line.second_subject, found.block, found.zone);
    }
    fmt::print("{}", found.reasons);
}

} // namespace

absl::StatusOr<caller_explanation>
explain_caller(std::shared_ptr<config::configuration const> const& accepted,
               std::string const& service, std::string const& caller)
{
    absl::StatusOr<config::ip_address> const address = read_caller(caller);
    if (!address.ok())
    {
        return address.status();
    }

    // Routes stand on references that resolve.
    absl::Status valid = config::check(*accepted);
    if (!valid.ok())
    {
        return valid;
    }
    service_id const id(service);
    if (!has_service(*accepted, id))
    {
        return make_error(error_kind::unknown_name,
                          fmt::format("No service is named '{}'.", service),
                          "See the names with bilberryctl get.");
    }

    caller_explanation result;
    config::labels labels;
    config::caller_block const* const block = block_of(*accepted, *address);
    if (block != nullptr)
    {
        result.block = block->block;
        result.zone = block->zone.text();
        labels = block->labels;
    }
    std::shared_ptr<config::routes const> const routes =
        config::routes::compile(accepted);
    result.reasons = routes->explain(id, labels);
    config::route const* const route = routes->find(id, labels);
    if (route == nullptr)
    {
        return result;
    }
    for (config::route_zone const& zone : route->zones)
    {
        for (config::upstream const* const each : zone.upstreams)
        {
            result.upstreams.push_back(each->id.text());
        }
    }
    return result;
}

nlohmann::json
changes_json(std::vector<config::configuration_change> const& changes)
{
    nlohmann::json rows = nlohmann::json::array();
    for (config::configuration_change const& each : changes)
    {
        nlohmann::json fields = nlohmann::json::array();
        for (config::field_change const& field : each.fields)
        {
            fields.push_back({{"field", field.field},
                              {"before", field.before},
                              {"after", field.after}});
        }
        rows.push_back({{"kind", name_of(each.kind)},
                        {"list", each.list},
                        {"name", each.name},
                        {"fields", fields}});
    }
    return rows;
}

exit_code run_diff(command_line const& line)
{
    absl::StatusOr<std::string> const text = daemon::read_file(line.subject);
    if (!text.ok())
    {
        return report(text.status());
    }
    absl::StatusOr<config::configuration> const proposed =
        config::parse_configuration(*text, line.subject);
    if (!proposed.ok())
    {
        return report(proposed.status());
    }
    operator_client client(line.client);
    absl::StatusOr<accepted_configuration> const accepted =
        fetch_accepted(client);
    if (!accepted.ok())
    {
        return report(accepted.status());
    }
    absl::StatusOr<config::configuration> const current =
        read_accepted(*accepted);
    if (!current.ok())
    {
        return report(current.status());
    }

    std::vector<config::configuration_change> const changes =
        config::diff(*current, *proposed);
    if (line.output == output_form::json)
    {
        print_json({{"revision", accepted->number},
                    {"changes", changes_json(changes)}});
    }
    else if (changes.empty())
    {
        fmt::print("Nothing differs from revision {}.\n", accepted->number);
    }
    else
    {
        fmt::print("Against revision {}:\n{}", accepted->number,
                   config::to_text(changes));
    }
    return exit_code::done;
}

exit_code run_explain(command_line const& line)
{
    // Wrong input is told even when no control host answers.
    absl::StatusOr<config::ip_address> const caller =
        read_caller(line.second_subject);
    if (!caller.ok())
    {
        return report(caller.status());
    }
    operator_client client(line.client);
    absl::StatusOr<accepted_configuration> const accepted =
        fetch_accepted(client);
    if (!accepted.ok())
    {
        return report(accepted.status());
    }
    absl::StatusOr<config::configuration> current = read_accepted(*accepted);
    if (!current.ok())
    {
        return report(current.status());
    }
    absl::StatusOr<caller_explanation> const found = explain_caller(
        std::make_shared<config::configuration const>(*std::move(current)),
        line.subject, line.second_subject);
    if (!found.ok())
    {
        return report(found.status());
    }
    print_explanation(line, accepted->number, *found);
    return exit_code::done;
}

} // namespace bilberrylead::ctl
