#include "bilberrylead/agreement/read_queue.hpp"

namespace bilberrylead::agreement
{

read_queue::read_queue(replica_core& shared, leadership& lead)
    : core(shared), office(lead)
{
}

void read_queue::on_read_requested(std::uint64_t token)
{
    if (this->core.role() != role::leader)
    {
        this->core.out.add(read_refused{token, this->core.leader});
        return;
    }
    if (this->office.holds_lease(this->core.now))
    {
        this->core.out.add(read_ready{token, this->core.commit_index});
        return;
    }
    this->rows.push_back(row{token, this->office.current_round()});
    this->office.beat_soon();
}

void read_queue::answer_confirmed()
{
    if (this->rows.empty() || !this->office.term_is_committed())
    {
        return;
    }
    std::uint64_t const confirmed = this->office.quorum_round();
    while (!this->rows.empty() && this->rows.front().round <= confirmed)
    {
        this->core.out.add(
            read_ready{this->rows.front().token, this->core.commit_index});
        this->rows.pop_front();
    }
}

void read_queue::refuse_all()
{
    for (row const& one : this->rows)
    {
        this->core.out.add(read_refused{one.token, this->core.leader});
    }
    this->rows.clear();
}

} // namespace bilberrylead::agreement
