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

/// What all parts of a replica share. Owned by replica_parts, which also
/// sets `now`.
class replica_core
{
public:
    /// See replica's constructor.
    replica_core(host_id const& own_id, std::uint64_t own_incarnation,
                 replica_settings const& own_settings, std::uint64_t seed,
                 safeguards const& enabled);

    /// The role now.
    agreement::role role() const;

    /// True if the membership in force counts this replica's vote.
    bool is_voter() const;

    /// True if this replica may stand for election: it is a voter, or it
    /// was one before a change that is not known to be committed.
    bool may_lead() const;

    /// Takes over a later term, without a vote in it; nothing otherwise.
    void adopt_term(std::uint64_t term);

    /// Sets term and vote and has them written.
    void set_hard_state(std::uint64_t term, host_id const& voted_for);

    /// Makes durable how far the log is committed, if that is news and the
    /// last such note is some time ago.
    void record_commit_index();

    /// Makes the message that says `body` now.
    message make_message(message_body body) const;

    /// Sends once everything written so far is durable; `durable_first`
    /// is false only with a safeguard switched off.
    void send_after_sync(host_id const& to, message_body body,
                         bool wait_for_sync = true);

    /// Takes up the role of voter or learner that the membership gives.
    void update_role_from_membership();

    /// True if a membership counts the vote of exactly this incarnation.
    bool is_counted_voter(membership const& members, host_id const& host,
                          std::uint64_t sender_incarnation) const;

    /// Who this is.
    host_id self;
    /// Which life of its data folder.
    std::uint64_t incarnation;
    /// Pace.
    replica_settings settings;
    /// Tests only.
    safeguards enabled_safeguards;
    /// Spreads election timeouts.
    std::mt19937_64 random;
    /// Time of the event at work.
    instant now;
    /// As written.
    agreement::hard_state hard_state;
    /// As written.
    replica_log log;
    /// Memberships in the log.
    membership_history memberships;
    /// The newest snapshot, if any; shared with transfers under way.
    std::shared_ptr<snapshot const> latest_snapshot;
    /// Highest index known to be committed; equals the last applied index
    /// between events.
    std::uint64_t commit_index = 0;
    /// When `hard_state` last took the commit index over.
    instant commit_index_recorded_at{};
    /// Last index when the call began: durable before any effect of it.
    std::uint64_t durable_index = 0;
    /// Who leads in the present term; empty if unknown.
    host_id leader;
    /// The role's life cycle.
    role_life_cycle life_cycle;
    /// Effects of the call at work.
    effect_collector effects;
};

} // namespace bilberrylead::agreement

#endif
