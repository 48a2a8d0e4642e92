#include "bilberrylead/daemon/control_program.hpp"
#include "bilberrylead/daemon/run_daemon.hpp"

int main(int count, char const** values)
{
    return bilberrylead::daemon::run_daemon<
        bilberrylead::daemon::control_program>(
        count, values,
        "Control host of bilberrylead: keeps the accepted configuration and "
        "the run-at-most-once records, together with the other control "
        "hosts.",
        bilberrylead::config::parse_control_settings);
}
