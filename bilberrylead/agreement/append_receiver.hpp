#ifndef BILBERRYLEAD_AGREEMENT_APPEND_RECEIVER_HPP
#define BILBERRYLEAD_AGREEMENT_APPEND_RECEIVER_HPP

#include "bilberrylead/agreement/log_applier.hpp"
#include "bilberrylead/agreement/message.hpp"
#include "bilberrylead/agreement/replica_core.hpp"
#include "bilberrylead/core/ids.hpp"

#include <cstdint>

namespace bilberrylead::agreement
{

/// A follower's side of append_request. The sender is known to lead in the
/// present term.
class append_receiver
{
public:
    /// Works on the replica's shared state.
    append_receiver(replica_core& shared, log_applier& to_apply);

    /// Takes in what fits and answers.
    void on_append_request(host_id const& from, append_request const& request);

private:
    bool is_well_formed(append_request const& request) const;
    bool fits(append_request const& request) const;
    void reject(host_id const& from, append_request const& request);
    void store(append_request const& request);
    void append(log_entry const& next);

    replica_core& core;
    log_applier& applier;
};

} // namespace bilberrylead::agreement

#endif
