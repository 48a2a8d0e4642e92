#ifndef BILBERRYLEAD_AGREEMENT_REPLICA_CORE_HPP
#define BILBERRYLEAD_AGREEMENT_REPLICA_CORE_HPP

#include "bilberrylead/agreement/effect_collector.hpp"
#include "bilberrylead/agreement/hard_state.hpp"
#include "bilberrylead/agreement/membership_history.hpp"
#include "bilberrylead/agreement/message.hpp"
#include "bilberrylead/agreement/replica_log.hpp"
#include "bilberrylead/agreement/replica_settings.hpp"
#include "bilberrylead/agreement/role_life_cycle.hpp"
#include "bilberrylead/agreement/safeguards.hpp"
#include "bilberrylead/agreement/snapshot.hpp"
#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"

#include <cstdint>
#include <memory>
#include <random>

namespace bilberrylead::agreement
{

/// State shared by all parts of a replica. Owned by replica_parts, which also
/// sets `now`.
class replica_core
{
public:
    /// See replica's constructor.
    replica_core(host_id const& own_id, std::uint64_t own_incarnation,
                 replica_settings const& own_settings, std::uint64_t seed,
                 safeguards const& enabled);

    /// The current role.
    agreement::role role() const;

    /// True if this replica is a voter in the membership in force.
    bool is_voter() const;

    /// True if this replica may stand for election: it is a voter, or was one
    /// before a change that is not known to be committed.
    bool may_lead() const;

    /// Adopts a later term without a vote in it and becomes a follower; does
    /// nothing if `term` is not later.
    void adopt_term(std::uint64_t term);

    /// Sets term, vote and commit index and writes them.
    void set_hard_state(std::uint64_t term, host_id const& voted_for);

    /// Writes the commit index if it has advanced and
    /// commit_index_persist_interval has passed since the last write.
    void record_commit_index();

    /// Builds a message with `body` and the current term and incarnation.
    message make_message(message_body body) const;

    /// Sends a message once everything written so far is durable.
    /// `wait_for_sync` is false only with a safeguard switched off.
    void send_after_sync(host_id const& to, message_body body,
                         bool wait_for_sync = true);

    /// Joins or leaves the voters according to the membership in force.
    void update_role_from_membership();

    /// True if the vote of this incarnation of the host counts under `members`.
    bool is_counted_voter(membership const& members, host_id const& host,
                          std::uint64_t sender_incarnation) const;

    /// This host.
    host_id self;
    /// Incarnation of its data folder.
    std::uint64_t incarnation;
    /// Timing and limits.
    replica_settings settings;
    /// Safeguards in effect; only tests switch any of them off.
    safeguards enabled_safeguards;
    /// Random source for the election timeouts.
    std::mt19937_64 random;
    /// Time of the current call.
    instant now;
    /// Hard state as last written; may not be durable yet.
    agreement::hard_state hard_state;
    /// The log as written; its end may not be durable yet.
    replica_log log;
    /// Memberships introduced by the log.
    membership_history memberships;
    /// The newest snapshot, or nullptr; shared with transfers in progress.
    std::shared_ptr<snapshot const> latest_snapshot;
    /// Highest index known to be committed; equals the last applied index
    /// between events.
    std::uint64_t commit_index = 0;
    /// When `hard_state` was last written with the commit index.
    instant commit_index_recorded_at{};
    /// Last index at the beginning of the call: durable before any effect of
    /// the call is executed.
    std::uint64_t durable_index = 0;
    /// Leader of the current term; empty if unknown.
    host_id leader;
    /// State machine of the role.
    role_life_cycle life_cycle;
    /// Effects of the current call.
    effect_collector effects;
};

} // namespace bilberrylead::agreement

#endif
