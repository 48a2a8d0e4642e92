#include "bilberrylead/daemon/control_program.hpp"
#include "bilberrylead/daemon/own_control_adapter.hpp"
#include "bilberrylead/daemon/run_daemon.hpp"

int main(int count, char const** values)
{
    using namespace bilberrylead::daemon;
    return run_daemon<control_program>(
        count, values,
        "Control host of bilberrylead: keeps the accepted configuration and "
        "the run-at-most-once records, together with the other control "
        "hosts.",
        bilberrylead::config::parse_control_settings,
        bindings_of<own_control_adapter>());
}
