#include "bilberrylead/ctl/commands.hpp"

#include "bilberrylead/ctl/change_commands.hpp"
#include "bilberrylead/ctl/explain_commands.hpp"
#include "bilberrylead/ctl/group_commands.hpp"
#include "bilberrylead/ctl/view_commands.hpp"

#include <array>

namespace bilberrylead::ctl
{

std::span<command const> all_commands()
{
    static constexpr std::array commands = {
        command{"check", "FILE", "Check a configuration file; asks nobody.",
                run_check},
        command{"apply", "FILE",
                "Propose a configuration file as the next revision.",
                run_apply},
        command{"get", "[REVISION]", "Show the accepted configuration.",
                run_get},
        command{"diff", "FILE",
                "Show what a file would change in the accepted configuration.",
                run_diff},
        command{"explain", "SERVICE CALLER-ADDRESS",
                "Show which upstreams a caller reaches, and why.", run_explain},
        command{"drain", "NAME",
                "Mark an upstream or entry host as leaving: no new work.",
                run_drain},
        command{"undrain", "NAME", "Take that mark off again.", run_undrain},
        command{"status", "", "Show control and entry hosts.", run_status},
        command{"audit", "", "Show who changed what, newest first.", run_audit},
        command{"crashes", "", "Show requests under which upstreams ended.",
                run_crashes},
        command{"customers", "",
                "Show the customers that use most of their limits.",
                run_customers},
        command{"admission", "[SERVICE]",
                "Show which share of the demand is admitted, by rank.",
                run_admission},
        command{"lift", "DIGEST", "Let such a request run again.", run_lift},
        command{"wait", "REVISION",
                "Wait until a revision is in force at every entry host.",
                run_wait},
        command{"found", "", "Found a new group, once, on blank control hosts.",
                run_found},
        command{"add-member", "HOST", "Take a new control host into the group.",
                run_add_member},
        command{"remove-member", "HOST",
                "Take a control host out of the group.", run_remove_member},
        command{"handover", "", "Let the leader hand its office over.",
                run_handover},
    };
    return commands;
}

} // namespace bilberrylead::ctl
