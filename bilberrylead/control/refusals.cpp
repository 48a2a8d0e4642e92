#include "bilberrylead/control/refusals.hpp"

#include "bilberrylead/core/error.hpp"

#include <fmt/format.h>

namespace bilberrylead::control
{

absl::Status not_leader(host_id const& leader)
{
    if (leader.empty())
    {
        return make_error(error_kind::no_quorum, "No control host leads now.",
                          "Try again in a second; if it lasts, see whether "
                          "more than half of the control hosts run.");
    }
    return make_error(
        error_kind::not_leader,
        fmt::format("This host does not lead; {} does.", leader.text()),
        "Ask that host.");
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
            "The group cannot change so: the host is a member already, or "
            "is none, or is the last voter.",
            "See the members with bilberryctl status. A member that lost "
            "its disk is taken back by itself, with no command.");
    }
    return make_error(error_kind::no_room,
                      fmt::format("The log refuses the change ({}).",
                                  agreement::to_string(reason)),
                      "Try again in a second.");
}

} // namespace bilberrylead::control
