#include "bilberrylead/ctl/group_commands.hpp"

#include "bilberrylead/core/error.hpp"
#include "bilberrylead/ctl/report.hpp"

#include <fmt/format.h>

namespace bilberrylead::ctl
{

namespace
{

constexpr unsigned ok_status = 200;

exit_code ask_and_report(command_line const& line, std::string const& target,
                         std::string const& body, std::string const& success)
{
    operator_client client(line.client);
    absl::StatusOr<operator_answer> const answer =
        client.ask("POST", target, body);
    if (!answer.ok())
    {
        return report(answer.status());
    }
    if (answer->status != ok_status)
    {
        return report_refusal(*answer);
    }
    fmt::print("{}\n", success);
    return exit_code::done;
}

exit_code change_member(command_line const& line, std::string const& action,
                        std::string const& success)
{
    nlohmann::json const body = {{"action", action}, {"host", line.subject}};
    return ask_and_report(line, "/v1/members", body.dump(), success);
}

/// True if the host answers and belongs to no group.
absl::Status check_blank(operator_client& client, std::size_t host)
{
    absl::StatusOr<operator_answer> const answer =
        client.ask_one(host, "GET", "/v1/status");
    if (!answer.ok())
    {
        return answer.status();
    }
    absl::StatusOr<nlohmann::json> const body = body_of(*answer);
    if (!body.ok())
    {
        return body.status();
    }
    if (!body->contains("members") || !body->at("members").empty())
    {
        return make_error(
            error_kind::conflict,
            fmt::format("Control host {} belongs to a group already.",
                        body->value("host", "?")),
            "Found a group only once. A repaired host is taken "
            "back by itself.");
    }
    return absl::OkStatus();
}

} // namespace

exit_code run_found(command_line const& line)
{
    // All of them have to be blank: a host that lost its disk would vote a
    // second time as its former self if it were founded again.
    operator_client client(line.client);
    for (std::size_t host = 0; host < client.host_count(); ++host)
    {
        absl::Status const blank = check_blank(client, host);
        if (!blank.ok())
        {
            return report(blank);
        }
    }
    for (std::size_t host = 0; host < client.host_count(); ++host)
    {
        absl::StatusOr<operator_answer> const answer =
            client.ask_one(host, "POST", "/v1/found");
        if (!answer.ok())
        {
            return report(answer.status());
        }
        if (answer->status != ok_status)
        {
            return report_refusal(*answer);
        }
    }
    fmt::print("A group of {} control hosts is founded.\n",
               client.host_count());
    return exit_code::done;
}

exit_code run_add_member(command_line const& line)
{
    return change_member(line, "add_voter",
                         "The host is taken in; it votes once it has caught "
                         "up (see bilberryctl status).");
}

exit_code run_remove_member(command_line const& line)
{
    return change_member(line, "remove", "The host is taken out.");
}

exit_code run_lift(command_line const& line)
{
    nlohmann::json const body = {{"digest", line.subject}};
    return ask_and_report(line, "/v1/crashes/lift", body.dump(),
                          "The request may run again.");
}

exit_code run_handover(command_line const& line)
{
    return ask_and_report(line, "/v1/handover", "",
                          "The leader hands its office over.");
}

} // namespace bilberrylead::ctl
