#include "bilberrylead/agreement/peer_table.hpp"

#include <algorithm>
#include <functional>

namespace bilberrylead::agreement
{

namespace
{

/// Returns the greatest value that a quorum of the voters has reached.
template <class Value, class Projection>
Value quorum_value(std::vector<peer_progress> const& rows, bool self_votes,
                   Value const& own, Projection value_of_peer)
{
    std::vector<Value> values;
    for (peer_progress const& peer : rows)
    {
        if (peer.member.voter)
        {
            values.push_back(value_of_peer(peer));
        }
    }
    if (self_votes)
    {
        values.push_back(own);
    }
    if (values.empty())
    {
        return Value();
    }
    std::ranges::sort(values, std::greater<>());
    return values[values.size() / 2];
}

} // namespace

void peer_table::clear()
{
    this->rows.clear();
}

void peer_table::update_members(membership const& current, host_id const& self,
                                std::uint64_t next_index, instant now)
{
    std::vector<peer_progress> next;
    for (member const& one : current.members)
    {
        if (one.host == self)
        {
            continue;
        }
        peer_progress row;
        peer_progress const* const existing = this->find(one.host);
        if (existing != nullptr &&
            existing->member.incarnation == one.incarnation)
        {
            row = *existing;
        }
        else
        {
            row.listed_at = now;
            row.next_index = next_index;
        }
        row.member = one;
        next.push_back(std::move(row));
    }
    this->rows.swap(next);
}

peer_progress* peer_table::find(host_id const& host)
{
    auto const found = std::ranges::find_if(this->rows,
                                            [&host](peer_progress const& one)
                                            {
                                                return one.member.host == host;
                                            });
    return found == this->rows.end() ? nullptr : &*found;
}

std::vector<peer_progress>& peer_table::all()
{
    return this->rows;
}

std::vector<peer_progress> const& peer_table::all() const
{
    return this->rows;
}

std::uint64_t peer_table::quorum_match_index(bool self_votes,
                                             std::uint64_t own) const
{
    return quorum_value(this->rows, self_votes, own,
                        [](peer_progress const& one)
                        {
                            return one.match_index;
                        });
}

std::uint64_t peer_table::quorum_commit_index(bool self_votes,
                                              std::uint64_t own) const
{
    return quorum_value(this->rows, self_votes, own,
                        [](peer_progress const& one)
                        {
                            return one.commit_index;
                        });
}

std::uint64_t peer_table::quorum_round(bool self_votes, std::uint64_t own) const
{
    return quorum_value(this->rows, self_votes, own,
                        [](peer_progress const& one)
                        {
                            return one.acked_round;
                        });
}

std::optional<instant> peer_table::quorum_acked_send_time(bool self_votes,
                                                          instant own) const
{
    return quorum_value(this->rows, self_votes, std::optional<instant>(own),
                        [](peer_progress const& one)
                        {
                            return one.acked_send_time;
                        });
}

} // namespace bilberrylead::agreement
