#ifndef BILBERRYLEAD_AGREEMENT_READ_QUEUE_HPP
#define BILBERRYLEAD_AGREEMENT_READ_QUEUE_HPP

#include "bilberrylead/agreement/leadership.hpp"
#include "bilberrylead/agreement/replica_core.hpp"

#include <cstdint>
#include <deque>

namespace bilberrylead::agreement
{

/// Reads that must see everything accepted before them. Under the lease
/// they are answered at once, else when a quorum has answered a message
/// that was sent after the read came in.
class read_queue
{
public:
    /// Works on the replica's shared state.
    read_queue(replica_core& shared, agreement::leadership& lead);

    /// Answers at once, or queues.
    void on_read_requested(std::uint64_t token);

    /// Answers those that a quorum has confirmed.
    void answer_confirmed();

    /// The office is lost.
    void refuse_all();

private:
    struct row
    {
        std::uint64_t token = 0;
        std::uint64_t round = 0;
    };
    replica_core& core;
    agreement::leadership& leadership;
    std::deque<row> rows;
};

} // namespace bilberrylead::agreement

#endif
