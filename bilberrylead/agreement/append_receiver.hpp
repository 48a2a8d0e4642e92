#ifndef BILBERRYLEAD_AGREEMENT_APPEND_RECEIVER_HPP
#define BILBERRYLEAD_AGREEMENT_APPEND_RECEIVER_HPP

#include "bilberrylead/agreement/log_applier.hpp"
#include "bilberrylead/agreement/message.hpp"
#include "bilberrylead/agreement/replica_core.hpp"
#include "bilberrylead/core/ids.hpp"

#include <cstdint>

namespace bilberrylead::agreement
{

/// Follower's side of append_request. The caller has checked that the sender is
/// the leader of the current term.
class append_receiver
{
public:
    /// Keeps references to both; they must outlive this object.
    append_receiver(replica_core& shared, log_applier& to_apply);

    /// Appends the entries if the log matches at previous_index, advances the
    /// commit index and replies. Ignores a malformed request.
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
