#include "bilberrylead/agreement/pending_proposals.hpp"

namespace bilberrylead::agreement
{

pending_proposals::pending_proposals(replica_core& shared) : core(shared)
{
}

bool pending_proposals::would_exceed_limits(std::size_t payload_bytes) const
{
    std::uint64_t const uncommitted =
        this->core.log.last_index() - this->core.commit_index;
    return uncommitted >= this->core.settings.max_uncommitted_entries ||
           this->pending_bytes + payload_bytes >
               this->core.settings.max_uncommitted_bytes;
}

void pending_proposals::add(std::uint64_t index, std::uint64_t token,
                            std::size_t payload_bytes)
{
    this->rows.push_back(row{index, token, payload_bytes});
    this->pending_bytes += payload_bytes;
}

void pending_proposals::on_committed(std::uint64_t index)
{
    if (this->rows.empty() || this->rows.front().index != index)
    {
        return;
    }
    row const done = this->rows.front();
    this->rows.pop_front();
    this->pending_bytes -= done.payload_bytes;
    this->core.effects.add(proposal_accepted{done.token, index});
}

void pending_proposals::abandon_all()
{
    for (row const& one : this->rows)
    {
        this->core.effects.add(
            proposal_outcome_unknown{one.token, this->core.leader});
    }
    this->rows.clear();
    this->pending_bytes = 0;
}

} // namespace bilberrylead::agreement
