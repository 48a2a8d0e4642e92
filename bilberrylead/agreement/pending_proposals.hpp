#ifndef BILBERRYLEAD_AGREEMENT_PENDING_PROPOSALS_HPP
#define BILBERRYLEAD_AGREEMENT_PENDING_PROPOSALS_HPP

#include "bilberrylead/agreement/replica_core.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace bilberrylead::agreement
{

/// A leader's proposals that are not committed yet, in order of index.
class pending_proposals
{
public:
    /// Works on the replica's shared state.
    explicit pending_proposals(replica_core& shared);

    /// True if one more of this size would pass a bound.
    bool would_exceed_limits(std::size_t payload_bytes) const;

    /// Remembers who asked for an entry.
    void add(std::uint64_t index, std::uint64_t token,
             std::size_t payload_bytes);

    /// Answers for an entry that is committed, if somebody asked for it.
    void on_committed(std::uint64_t index);

    /// The office is lost: nobody can say now what becomes of them.
    void abandon_all();

private:
    struct row
    {
        std::uint64_t index = 0;
        std::uint64_t token = 0;
        std::size_t payload_bytes = 0;
    };
    replica_core& core;
    std::deque<row> rows;
    std::size_t pending_bytes = 0;
};

} // namespace bilberrylead::agreement

#endif
