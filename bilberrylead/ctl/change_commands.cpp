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

/// A change that this call proposes.
struct proposed_change
{
    /// Its id.
    std::string id;
    /// The revision that it is based on.
    std::uint64_t base = 0;
    /// The configuration.
    std::string document;
    /// The newest revision that had been accepted when this call began.
    std::uint64_t accepted_before = 0;
};

/// An answer that says "accepted already" of this call's own change says
/// "accepted" instead: the call sent it twice, and the outcome of the first
/// sending was lost. A change on the newest revision cannot have been accepted
/// before; otherwise an earlier call may have submitted it under the same id.
void report_own_acceptance(operator_answer& answer,
                           proposed_change const& change)
{
    if (!answer.outcome_was_lost || change.accepted_before > change.base)
    {
        return;
    }
    absl::StatusOr<nlohmann::json> body = body_of(answer);
    if (body.ok() && body->value("outcome", "") == "already_accepted")
    {
        (*body)["outcome"] = "accepted";
        answer.body = body->dump();
    }
}

absl::StatusOr<operator_answer> send_change(operator_client& client,
                                            proposed_change const& change)
{
    nlohmann::json const body = {{"change_id", change.id},
                                 {"base_revision", change.base},
                                 {"document", change.document}};
    absl::StatusOr<operator_answer> answer =
        client.ask("POST", "/v1/changes", body.dump());
    if (answer.ok())
    {
        report_own_acceptance(*answer, change);
    }
    return answer;
}

/// True if the change may have been accepted and no host said whether it was.
bool is_outcome_unknown(operator_answer const& answer)
{
    absl::StatusOr<nlohmann::json> const body = body_of(answer);
    return answer.outcome_was_lost && !(body.ok() && body->contains("outcome"));
}

/// Tells the operator how to learn the outcome of a change that may have been
/// accepted.
void explain_unknown_outcome(proposed_change const& change)
{
    fmt::print(stderr,
               "bilberryctl: What became of change {} is not known. Send "
               "it again with --change-id {} --base {}.\n",
               change.id, change.id, change.base);
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
        fmt::print("Revision {} {} (change {}).\n",
                   body->value("revision", std::uint64_t{0}),
                   outcome == "already_accepted" ? "was accepted already"
                                                 : "is accepted",
                   change_id);
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

/// The change that the command line asks for. An id made here is new. One
/// that the operator chose may have been submitted before, which only the
/// newest accepted revision tells.
absl::StatusOr<proposed_change> prepare_change(command_line const& line,
                                               operator_client& client,
                                               std::string const& document)
{
    bool const has_new_id = line.change_id.empty();
    proposed_change change = {has_new_id ? make_change_id() : line.change_id,
                              line.base_revision, document, line.base_revision};
    if (has_new_id && line.has_base_revision)
    {
        return change;
    }
    absl::StatusOr<accepted_configuration> const accepted =
        fetch_accepted(client);
    if (!accepted.ok())
    {
        return accepted.status();
    }
    change.accepted_before = accepted->number;
    if (!line.has_base_revision)
    {
        change.base = accepted->number;
    }
    return change;
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
        proposed_change const change = {make_change_id(), accepted->number,
                                        *edited, accepted->number};
        absl::StatusOr<operator_answer> const answer =
            send_change(client, change);
        if (!answer.ok())
        {
            return report(answer.status());
        }
        bool const lost_a_race = answer->status == 409 && left > 1;
        if (!lost_a_race)
        {
            return show_change(line, change.id, *answer);
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
    absl::StatusOr<proposed_change> const change =
        prepare_change(line, client, *text);
    if (!change.ok())
    {
        return report(change.status());
    }
    absl::StatusOr<operator_answer> const answer = send_change(client, *change);
    if (!answer.ok() || is_outcome_unknown(*answer))
    {
        explain_unknown_outcome(*change);
    }
    return answer.ok() ? show_change(line, change->id, *answer)
                       : report(answer.status());
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
