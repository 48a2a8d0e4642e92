#ifndef BILBERRYLEAD_AGREEMENT_SNAPSHOT_RECEIVER_HPP
#define BILBERRYLEAD_AGREEMENT_SNAPSHOT_RECEIVER_HPP

#include "bilberrylead/agreement/log_applier.hpp"
#include "bilberrylead/agreement/message.hpp"
#include "bilberrylead/agreement/replica_core.hpp"
#include "bilberrylead/core/ids.hpp"

#include <cstdint>

namespace bilberrylead::agreement
{

/// A follower's side of install_snapshot_request: puts the chunks together
/// in memory and installs the whole. The sender is known to lead in the
/// present term.
class snapshot_receiver
{
public:
    /// Works on the replica's shared state.
    snapshot_receiver(replica_core& shared, log_applier& to_apply);

    /// Takes in the chunk if it is the next one, and answers.
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
