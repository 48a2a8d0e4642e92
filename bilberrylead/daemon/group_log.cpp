#include "bilberrylead/daemon/group_log.hpp"

#include "bilberrylead/agreement/effects/role_changed.hpp"
#include "bilberrylead/core/log_line.hpp"

#include <fmt/format.h>

#include <cstdint>
#include <string>

namespace bilberrylead::daemon
{

namespace
{

/// The hosts with or without a vote, each with its incarnation.
std::string text_of(agreement::membership const& group, bool voters)
{
    std::string text;
    for (agreement::member const& each : group.members)
    {
        if (each.voter == voters)
        {
            text += fmt::format("{}{}/{}{}", text.empty() ? "" : " ",
                                each.host.text(), each.incarnation,
                                each.voter_when_caught_up ? "+" : "");
        }
    }
    return text;
}

} // namespace

void group_log::record_members(agreement::membership const& current)
{
    if (current == this->members)
    {
        return;
    }
    this->members = current;
    log_line("control", "membership")
        .text("voters", text_of(current, true))
        .text("learners", text_of(current, false))
        .number("quorum", static_cast<std::int64_t>(current.quorum()))
        .write();
}

std::optional<duration>
group_log::record_role(agreement::role_changed const& current, instant now)
{
    if (current.leader.empty())
    {
        if (!this->without_leader_since.has_value())
        {
            this->without_leader_since = now;
        }
        return std::nullopt;
    }
    if (!this->without_leader_since.has_value())
    {
        return std::nullopt;
    }
    duration const time = now - *this->without_leader_since;
    this->without_leader_since.reset();
    log_line("control", "leader_found")
        .text("leader", current.leader.text())
        .number("term", static_cast<std::int64_t>(current.term))
        .time("without_leader_ms", time)
        .write();
    return time;
}

void group_log::record_operator_call(std::string_view outcome,
                                     host_id const& leader)
{
    if (outcome == this->last_outcome && leader == this->last_leader)
    {
        return;
    }
    this->last_outcome = outcome;
    this->last_leader = leader;
    log_line("control", "operator_calls")
        .text("outcome", outcome)
        .text("leader", leader.text())
        .write();
}

} // namespace bilberrylead::daemon
