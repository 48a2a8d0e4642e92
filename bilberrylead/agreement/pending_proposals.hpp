#ifndef BILBERRYLEAD_AGREEMENT_PENDING_PROPOSALS_HPP
#define BILBERRYLEAD_AGREEMENT_PENDING_PROPOSALS_HPP

#include "bilberrylead/agreement/replica_core.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace bilberrylead::agreement
{

/// A leader's proposals that are not committed yet, ordered by index.
class pending_proposals
{
public:
    /// Keeps a reference to the shared state, which must outlive this object.
    explicit pending_proposals(replica_core& shared);

    /// True if another proposal of this size, in bytes, would exceed a limit.
    bool would_exceed_limits(std::size_t payload_bytes) const;

    /// Adds the proposal that was appended at `index`.
    void add(std::uint64_t index, std::uint64_t token,
             std::size_t payload_bytes);

    /// Reports the proposal at `index`, if there is one, as accepted.
    void on_committed(std::uint64_t index);

    /// Called when leadership is lost: reports the outcome of every pending
    /// proposal as unknown.
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
