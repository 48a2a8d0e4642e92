#include "bilberrylead/agreement/read_queue.hpp"

namespace bilberrylead::agreement
{

read_queue::read_queue(replica_core& shared, agreement::leadership& lead)
    : core(shared), leadership(lead)
{
}

void read_queue::on_read_requested(std::uint64_t token)
{
    if (this->core.role() != role::leader)
    {
        this->core.effects.add(read_refused{token, this->core.leader});
        return;
    }
    if (this->leadership.holds_lease(this->core.now))
    {
        this->core.effects.add(read_ready{token, this->core.commit_index});
        return;
    }
    this->rows.push_back(row{token, this->leadership.current_round()});
    this->leadership.schedule_heartbeats();
}

void read_queue::answer_confirmed()
{
    if (this->rows.empty() || !this->leadership.has_committed_in_term())
    {
        return;
    }
    std::uint64_t const confirmed = this->leadership.quorum_round();
    while (!this->rows.empty() && this->rows.front().round <= confirmed)
    {
        this->core.effects.add(
            read_ready{this->rows.front().token, this->core.commit_index});
        this->rows.pop_front();
    }
}

void read_queue::refuse_all()
{
    for (row const& one : this->rows)
    {
        this->core.effects.add(read_refused{one.token, this->core.leader});
    }
    this->rows.clear();
}

} // namespace bilberrylead::agreement
