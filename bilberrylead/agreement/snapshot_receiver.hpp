#ifndef BILBERRYLEAD_AGREEMENT_SNAPSHOT_RECEIVER_HPP
#define BILBERRYLEAD_AGREEMENT_SNAPSHOT_RECEIVER_HPP

#include "bilberrylead/agreement/log_applier.hpp"
#include "bilberrylead/agreement/message.hpp"
#include "bilberrylead/agreement/replica_core.hpp"
#include "bilberrylead/core/ids.hpp"

#include <cstdint>

namespace bilberrylead::agreement
{

/// Follower's side of install_snapshot_request: assembles the chunks in memory
/// and installs the complete snapshot. The caller has checked that the sender
/// is the leader of the current term.
class snapshot_receiver
{
public:
    /// Keeps references to both; they must outlive this object.
    snapshot_receiver(replica_core& shared, log_applier& to_apply);

    /// Appends the chunk if it is the next one, installs the snapshot once it
    /// is complete, and replies. Ignores a chunk outside the limits.
    void on_install_snapshot_request(host_id const& from,
                                     install_snapshot_request const& request);

private:
    bool matches_incoming(install_snapshot_request const& request) const;
    void add_chunk(install_snapshot_request const& request);

    replica_core& core;
    log_applier& applier;
    snapshot incoming;
};

} // namespace bilberrylead::agreement

#endif
