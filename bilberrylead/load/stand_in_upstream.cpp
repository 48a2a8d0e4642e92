#include "bilberrylead/load/stand_in_upstream.hpp"

#include "bilberrylead/load/stand_in_connection.hpp"

namespace bilberrylead::load
{

void stand_in_upstream::release_slot(instant now)
{
    if (!this->model.release(now))
    {
        return;
    }
    stand_in_connection* const first = this->waiters.front();
    this->waiters.pop_front();
    first->grant_slot();
}

void stand_in_upstream::silence()
{
    for (stand_in_connection* const each : this->connections)
    {
        each->go_silent();
    }
}

} // namespace bilberrylead::load
