#include "bilberrylead/daemon/entry_program.hpp"
#include "bilberrylead/daemon/own_entry_adapter.hpp"
#include "bilberrylead/daemon/run_daemon.hpp"

int main(int count, char const** values)
{
    using namespace bilberrylead::daemon;
    return run_daemon<entry_program>(
        count, values,
        "Entry host of bilberrylead: tells callers which entry hosts to use, "
        "and carries their requests to upstreams.",
        bilberrylead::config::parse_entry_settings,
        bindings_of<own_entry_adapter>());
}
