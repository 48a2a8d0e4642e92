#include "bilberrylead/agreement/open_proposals.hpp"

namespace bilberrylead::agreement
{

open_proposals::open_proposals(replica_core& shared) : core(shared)
{
}

bool open_proposals::full(std::size_t payload_bytes) const
{
    std::uint64_t const uncommitted =
        this->core.log.last_index() - this->core.commit_index;
    return uncommitted >= this->core.settings.max_uncommitted_entries ||
           this->open_bytes + payload_bytes >
               this->core.settings.max_uncommitted_bytes;
}

void open_proposals::opened(std::uint64_t index, std::uint64_t token,
                            std::size_t payload_bytes)
{
    this->rows.push_back(row{index, token, payload_bytes});
    this->open_bytes += payload_bytes;
}

void open_proposals::committed(std::uint64_t index)
{
    if (this->rows.empty() || this->rows.front().index != index)
    {
        return;
    }
    row const done = this->rows.front();
    this->rows.pop_front();
    this->open_bytes -= done.payload_bytes;
    this->core.out.add(proposal_accepted{done.token, index});
}

void open_proposals::give_up()
{
    for (row const& one : this->rows)
    {
        this->core.out.add(
            proposal_outcome_unknown{one.token, this->core.leader});
    }
    this->rows.clear();
    this->open_bytes = 0;
}

} // namespace bilberrylead::agreement
