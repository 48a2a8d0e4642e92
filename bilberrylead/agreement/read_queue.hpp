#ifndef BILBERRYLEAD_AGREEMENT_READ_QUEUE_HPP
#define BILBERRYLEAD_AGREEMENT_READ_QUEUE_HPP

#include "bilberrylead/agreement/leadership.hpp"
#include "bilberrylead/agreement/replica_core.hpp"

#include <cstdint>
#include <deque>

namespace bilberrylead::agreement
{

/// Linearizable reads. Under the lease they are answered at once, otherwise
/// when a quorum has replied to a message that was sent after the read was
/// requested.
class read_queue
{
public:
    /// Keeps references to both; they must outlive this object.
    read_queue(replica_core& shared, agreement::leadership& lead);

    /// Answers or refuses the read at once, or queues it.
    void on_read_requested(std::uint64_t token);

    /// Answers the queued reads that a quorum has confirmed.
    void answer_confirmed();

    /// Called when leadership is lost: refuses every queued read.
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
