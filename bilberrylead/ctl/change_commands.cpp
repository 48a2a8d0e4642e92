#include "bilberrylead/ctl/change_commands.hpp"

#include "bilberrylead/config/check.hpp"
#include "bilberrylead/config/configuration.hpp"
#include "bilberrylead/config/parse_configuration.hpp"
#include "bilberrylead/core/error.hpp"
#include "bilberrylead/ctl/accepted_configuration.hpp"
#include "bilberrylead/ctl/report.hpp"
#include "bilberrylead/daemon/run_daemon.hpp"

#include <fmt/format.h>

#include <random>
#include <utility>

namespace bilberrylead::ctl
{

namespace
{

/// Changes made here are edits of what is accepted: when another change
/// wins the race, the edit is made again on top of it.
constexpr int most_edit_tries = 5;

std::string make_change_id()
{
    std::random_device source;
    return fmt::format("{:08x}{:08x}", source(), source());
}

absl::StatusOr<operator_answer> send_change(operator_client& client,
                                            std::string const& change_id,
                                            std::uint64_t base_revision,
                                            std::string const& document)
{
    nlohmann::json const body = {{"change_id", change_id},
                                 {"base_revision", base_revision},
                                 {"document", document}};
    return client.ask("POST", "/v1/changes", body.dump());
}

exit_code show_change(command_line const& line, std::string const& change_id,
                      operator_answer const& answer)
{
    absl::StatusOr<nlohmann::json> body = body_of(answer);
    if (!body.ok())
    {
        return report(body.status());
    }
    std::string const outcome = body->value("outcome", "");
    if (outcome.empty())
    {
        return report_refusal(answer);
    }
    (*body)["change_id"] = change_id;
    if (line.output == output_form::json)
    {
        print_json(*body);
    }
    else if (outcome == "conflict")
    {
        fmt::print("Conflict: revision {} is accepted, by change {} of {}. "
                   "Get it, edit it, and apply again.\n",
                   body->value("current_revision", std::uint64_t{0}),
                   body->value("winner", ""),
                   body->value("winner_operator", ""));
    }
    else if (outcome == "change_id_reused")
    {
        fmt::print("Change id {} was used for another change. Take a new "
                   "one.\n",
                   change_id);
    }
    else
    {
        fmt::print("Revision {} is accepted (change {}).\n",
                   body->value("revision", std::uint64_t{0}), change_id);
    }
    if (outcome == "conflict")
    {
        return exit_code::conflict;
    }
    return outcome == "change_id_reused" ? exit_code::bad_input
                                         : exit_code::done;
}

/// Reads a configuration and checks that it is consistent, as control hosts
/// do before they accept it.
absl::StatusOr<config::configuration> read_valid(std::string const& text,
                                                 std::string const& source)
{
    absl::StatusOr<config::configuration> parsed =
        config::parse_configuration(text, source);
    if (!parsed.ok())
    {
        return parsed;
    }
    absl::Status consistent = config::check(*parsed);
    if (!consistent.ok())
    {
        return consistent;
    }
    return parsed;
}

/// Sets the mark of whatever carries the name; false if nothing does.
template <class Items, class Id>
bool set_leaving(Items& items, Id const& id, bool leaving)
{
    bool found = false;
    for (typename Items::value_type& item : items)
    {
        if (item.id == id)
        {
            item.leaving = leaving;
            found = true;
        }
    }
    return found;
}

absl::StatusOr<std::string> edit_leaving(std::string const& document,
                                         std::string const& name, bool leaving)
{
    absl::StatusOr<config::configuration> parsed =
        config::parse_configuration(document, "the accepted configuration");
    if (!parsed.ok())
    {
        return parsed.status();
    }
    bool const is_upstream =
        set_leaving(parsed->upstreams, upstream_id(name), leaving);
    bool const is_entry_host =
        set_leaving(parsed->entry_hosts, host_id(name), leaving);
    if (!is_upstream && !is_entry_host)
    {
        return make_error(
            error_kind::unknown_name,
            fmt::format("No upstream or entry host is named '{}'.", name),
            "See the names with bilberryctl get.");
    }
    return config::render_configuration(*parsed);
}

exit_code change_leaving(command_line const& line, bool leaving)
{
    operator_client client(line.client);
    for (int left = most_edit_tries;; --left)
    {
        absl::StatusOr<accepted_configuration> const accepted =
            fetch_accepted(client);
        if (!accepted.ok())
        {
            return report(accepted.status());
        }
        absl::StatusOr<std::string> const edited =
            edit_leaving(accepted->document, line.subject, leaving);
        if (!edited.ok())
        {
            return report(edited.status());
        }
        std::string const change_id = make_change_id();
        absl::StatusOr<operator_answer> const answer =
            send_change(client, change_id, accepted->number, *edited);
        if (!answer.ok())
        {
            return report(answer.status());
        }
        bool const lost_a_race = answer->status == 409 && left > 1;
        if (!lost_a_race)
        {
            return show_change(line, change_id, *answer);
        }
    }
}

} // namespace

exit_code run_check(command_line const& line)
{
    absl::StatusOr<std::string> const text = daemon::read_file(line.subject);
    if (!text.ok())
    {
        return report(text.status());
    }
    absl::StatusOr<config::configuration> const parsed =
        read_valid(*text, line.subject);
    if (!parsed.ok())
    {
        return report(parsed.status());
    }
    if (line.output == output_form::json)
    {
        print_json({{"valid", true},
                    {"services", parsed->services.size()},
                    {"upstreams", parsed->upstreams.size()},
                    {"entry_hosts", parsed->entry_hosts.size()}});
    }
    else
    {
        fmt::print("{} is valid: {} services, {} upstreams, {} entry hosts.\n",
                   line.subject, parsed->services.size(),
                   parsed->upstreams.size(), parsed->entry_hosts.size());
    }
    return exit_code::done;
}

exit_code run_apply(command_line const& line)
{
    absl::StatusOr<std::string> const text = daemon::read_file(line.subject);
    if (!text.ok())
    {
        return report(text.status());
    }
    absl::StatusOr<config::configuration> const parsed =
        read_valid(*text, line.subject);
    if (!parsed.ok())
    {
        return report(parsed.status());
    }
    operator_client client(line.client);
    std::uint64_t base = line.base_revision;
    if (!line.has_base_revision)
    {
        absl::StatusOr<accepted_configuration> const accepted =
            fetch_accepted(client);
        if (!accepted.ok())
        {
            return report(accepted.status());
        }
        base = accepted->number;
    }
    std::string const change_id =
        line.change_id.empty() ? make_change_id() : line.change_id;
    absl::StatusOr<operator_answer> const answer =
        send_change(client, change_id, base, *text);
    if (!answer.ok())
    {
        fmt::print(stderr,
                   "bilberryctl: What became of change {} is not known. Send "
                   "it again with --change-id {} --base {}.\n",
                   change_id, change_id, base);
        return report(answer.status());
    }
    return show_change(line, change_id, *answer);
}

exit_code run_drain(command_line const& line)
{
    return change_leaving(line, true);
}

exit_code run_undrain(command_line const& line)
{
    return change_leaving(line, false);
}

} // namespace bilberrylead::ctl
