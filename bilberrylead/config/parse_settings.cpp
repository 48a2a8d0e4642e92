#include "bilberrylead/config/control_settings.hpp"
#include "bilberrylead/config/entry_settings.hpp"
#include "bilberrylead/config/error_list.hpp"
#include "bilberrylead/config/field_reader.hpp"
#include "bilberrylead/config/json_text.hpp"
#include "bilberrylead/config/settings_fields.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstddef>
#include <optional>
#include <set>
#include <string>

namespace bilberrylead::config
{

namespace
{

/// More control hosts make every change slower and no loss survivable that
/// seven do not survive.
constexpr std::size_t most_control_hosts = 7;

/// Two names for one host would count one host's vote twice.
void check_unique(std::string const& list,
                  std::vector<host_address> const& hosts, error_list& errors)
{
    std::set<host_id> names;
    std::set<endpoint> addresses;
    for (host_address const& each : hosts)
    {
        if (!names.insert(each.id).second)
        {
            errors.add(error_kind::duplicate_name, list,
                       fmt::format("\"{}\" stands here twice.", each.id.text()),
                       "Take one of them away.");
        }
        if (!addresses.insert(each.address).second)
        {
            errors.add(
                error_kind::duplicate_name, list,
                fmt::format("{} stands here twice.", to_string(each.address)),
                "Give each host its own address.");
        }
    }
}

void check_listeners(std::vector<endpoint> const& listeners, error_list& errors)
{
    std::set<endpoint> const distinct(listeners.begin(), listeners.end());
    if (distinct.size() != listeners.size())
    {
        errors.add(error_kind::duplicate_name, "",
                   "Two listeners have the same address and port.",
                   "Give each its own port.");
    }
}

bool lists_host(std::vector<host_address> const& hosts, host_id const& id)
{
    return std::any_of(hosts.begin(), hosts.end(),
                       [&id](host_address const& each)
                       {
                           return each.id == id;
                       });
}

void check_operators(std::vector<operator_key> const& operators,
                     operator_trust trust, std::string const& peer_key,
                     error_list& errors)
{
    if (operators.empty() && trust == operator_trust::by_key)
    {
        errors.add(error_kind::missing_field, "operators",
                   "Nobody may change the configuration.",
                   "Name at least one operator with a key.");
    }
    std::set<std::string> names;
    std::set<std::string> keys = {peer_key};
    for (operator_key const& each : operators)
    {
        if (!names.insert(each.name).second)
        {
            errors.add(error_kind::duplicate_name, "operators",
                       fmt::format("\"{}\" stands here twice.", each.name),
                       "Take one of them away.");
        }
        if (!keys.insert(each.key).second)
        {
            errors.add(
                error_kind::duplicate_name, "operators",
                fmt::format("The key of \"{}\" is used elsewhere.", each.name),
                "Make a key of its own.");
        }
    }
}

/// The leader plans admission by region, for the slots that the list shows.
void check_admission(control_settings const& value, error_list& errors)
{
    if (value.admission != admission_mode::by_plan)
    {
        return;
    }
    if (value.places.empty())
    {
        errors.add(error_kind::bad_value, "admission",
                   "\"by_plan\" needs the zones and their regions.",
                   "Name them in places, or set \"none\" or \"by_rank\".");
    }
    if (value.upstream_list.port == 0)
    {
        errors.add(error_kind::bad_value, "admission",
                   "\"by_plan\" needs a list of upstreams.",
                   "Set upstream_list, or set \"none\" or \"by_rank\".");
    }
}

/// With seeds, hosts know each other by address.
void check_self_forming(control_settings const& value, error_list& errors)
{
    if (!value.control_hosts.empty())
    {
        errors.add(error_kind::bad_value, "control_hosts",
                   "A group that forms itself has no fixed hosts.",
                   "Leave out either control_hosts or seeds.");
    }
    if (value.first_start && value.seeds.empty())
    {
        errors.add(error_kind::missing_field, "seeds",
                   "No seed founds the group.",
                   "Name the seeds at the first start.");
    }
    if (value.id.text() != value.peer_listen.address)
    {
        errors.add(error_kind::bad_value, "name",
                   "The name is not the peer address.",
                   "With seeds, a control host is named by its IP address.");
    }
}

void check_settings(control_settings const& value, error_list& errors)
{
    check_unique("control_hosts", value.control_hosts, errors);
    check_listeners(
        {value.peer_listen, value.operator_listen, value.metrics_listen},
        errors);
    check_operators(value.operators, value.trust, value.peer_key, errors);
    check_admission(value, errors);
    if (value.forms_itself())
    {
        check_self_forming(value, errors);
        return;
    }
    std::size_t const hosts = value.control_hosts.size();
    if (hosts % 2 == 0 || hosts > most_control_hosts)
    {
        errors.add(error_kind::bad_value, "control_hosts",
                   fmt::format("These are {} hosts.", hosts),
                   "Name 1, 3, 5 or 7: an even number survives no more "
                   "losses than one less.");
    }
    if (!lists_host(value.control_hosts, value.id))
    {
        errors.add(
            error_kind::unknown_name, "control_hosts",
            fmt::format("\"{}\" itself is not among them.", value.id.text()),
            "Add it; the list is the same on every control host.");
    }
}

void check_settings(entry_settings const& value, error_list& errors)
{
    check_unique("control_hosts", value.control_hosts, errors);
    check_unique("neighbours", value.neighbours, errors);
    check_listeners(
        {value.caller_listen, value.peer_listen, value.metrics_listen}, errors);
    bool const has_none = value.control_hosts.empty() && !value.forms_itself();
    if (has_none || value.control_hosts.size() > most_control_hosts)
    {
        errors.add(
            error_kind::bad_value, "control_hosts",
            fmt::format("These are {} hosts.", value.control_hosts.size()),
            "Name the control hosts, 1 to 7.");
    }
    if (lists_host(value.neighbours, value.id))
    {
        errors.add(error_kind::bad_value, "neighbours",
                   fmt::format("\"{}\" itself is among them.", value.id.text()),
                   "Take it away.");
    }
    if (value.admission != admission_mode::none &&
        value.waiting != waiting_place::upstream)
    {
        errors.add(error_kind::bad_value, "admission",
                   "Ranks have no effect where requests wait at the entry "
                   "host.",
                   "Set \"waiting\" to \"upstream\", or leave it out.");
    }
}

template <class Settings>
absl::StatusOr<Settings> parse_settings(std::string_view text,
                                        std::string_view source_name)
{
    error_list errors(source_name);
    std::optional<nlohmann::json> const json = parse_json(text, errors);
    if (!json.has_value())
    {
        return errors.status();
    }
    Settings result;
    field_reader reader(*json, "", errors);
    visit_fields(reader, result);
    reader.finish();
    if (errors.empty())
    {
        check_settings(result, errors);
    }
    if (!errors.empty())
    {
        return errors.status();
    }
    return result;
}

} // namespace

absl::StatusOr<control_settings>
parse_control_settings(std::string_view text, std::string_view source_name)
{
    return parse_settings<control_settings>(text, source_name);
}

absl::StatusOr<entry_settings>
parse_entry_settings(std::string_view text, std::string_view source_name)
{
    return parse_settings<entry_settings>(text, source_name);
}

} // namespace bilberrylead::config
