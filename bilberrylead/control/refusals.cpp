#include "bilberrylead/control/refusals.hpp"

#include "bilberrylead/core/error.hpp"

#include <fmt/format.h>

namespace bilberrylead::control
{

absl::Status not_leader(host_id const& leader)
{
    if (leader.empty())
    {
        return make_error(error_kind::no_quorum,
                          "The control hosts have no leader at present.",
                          "Retry in a second; if the error persists, check "
                          "that more than half of the control hosts are "
                          "running.");
    }
    return make_error(
        error_kind::not_leader,
        fmt::format("This host is not the leader; {} is.", leader.text()),
        "Send the request to that host.");
}

absl::Status refusal_status(agreement::refusal reason, host_id const& leader)
{
    if (reason == agreement::refusal::not_leader)
    {
        return not_leader(leader);
    }
    if (reason == agreement::refusal::bad_change)
    {
        return make_error(
            error_kind::bad_value,
            "The membership change is not possible: the host is already a "
            "member, is not a member, or is the last voter.",
            "List the members with bilberryctl status. A member that lost "
            "its disk rejoins automatically; no command is needed.");
    }
    return make_error(error_kind::no_room,
                      fmt::format("The replicated log refused the change ({}).",
                                  agreement::to_string(reason)),
                      "Retry in a second.");
}

} // namespace bilberrylead::control
