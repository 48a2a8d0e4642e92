#include "bilberrylead/agreement/replica_parts.hpp"

#include "bilberrylead/agreement/codec.hpp"

#include <absl/status/statusor.h>

#include <algorithm>
#include <type_traits>
#include <utility>

namespace bilberrylead::agreement
{

replica_parts::replica_parts(host_id const& self, std::uint64_t incarnation,
                             replica_settings const& settings,
                             std::uint64_t seed,
                             safeguards const& enabled_safeguards)
    : core(self, incarnation, settings, seed, enabled_safeguards),
      proposals(core), applier(core, proposals), elections(core),
      appends(core, applier), snapshots(core, applier),
      leadership(core, applier), reads(core, leadership),
      membership_changes(core, leadership, proposals),
      leader_handover(core, leadership)
{
}

void replica_parts::begin_call(instant now)
{
    this->core.now = now;
    this->core.durable_index = this->core.log.last_index();
    if (this->core.role() == role::leader)
    {
        // Checked before any event: a leader whose process was suspended must
        // not act on its first event as if no time had passed.
        this->leadership.start_round();
        this->leadership.check_quorum();
        this->handle_role_change(role::leader);
    }
}

void replica_parts::process(event const& event)
{
    agreement::role const before = this->core.role();
    std::visit(
        [this](auto const& one)
        {
            this->on(one);
        },
        event);
    this->handle_role_change(before);
}

std::vector<effect> replica_parts::finish_call()
{
    if (this->core.role() == role::leader)
    {
        this->leader_handover.advance();
        this->leadership.flush();
        this->handle_role_change(role::leader);
    }
    if (this->core.role() == role::leader)
    {
        this->reads.answer_confirmed();
    }
    this->report_role();
    return this->core.effects.take_all();
}

void replica_parts::on(started const& event)
{
    // Before the restart this host may have replied to a leader whose lease
    // still relies on that reply.
    this->elections.record_leader_contact();
    bool const blank = !event.snapshot.has_value() && event.entries.empty() &&
                       event.hard_state.term == 0;
    if (blank && event.initial_membership.has_value())
    {
        this->bootstrap_group(*event.initial_membership);
        return;
    }
    this->core.hard_state = event.hard_state;
    this->recover_log(event);
}

void replica_parts::bootstrap_group(membership const& initial_membership)
{
    // Every initial member writes the same entry, as if a leader of term 1 had
    // sent it; the first elected leader commits it.
    log_entry first{1, 1, entry_kind::membership,
                    encode_membership(initial_membership)};
    this->core.set_hard_state(1, host_id());
    this->core.log.append(first);
    this->core.memberships.put(1, initial_membership);
    this->core.effects.write(append_entries{1, {std::move(first)}});
}

void replica_parts::recover_log(started const& event)
{
    replica_core& state = this->core;
    if (event.snapshot.has_value())
    {
        state.latest_snapshot =
            std::make_shared<snapshot const>(*event.snapshot);
        state.log.reset(event.snapshot->last_index, event.snapshot->last_term);
        state.memberships.reset(event.snapshot->last_index,
                                event.snapshot->membership);
        state.commit_index = event.snapshot->last_index;
        state.effects.add(restore{*event.snapshot});
    }
    for (log_entry const& one : event.entries)
    {
        if (one.index < state.log.base_index())
        {
            continue;
        }
        if (one.index == state.log.base_index())
        {
            // These entries are from another leader's log, which the snapshot
            // replaced.
            if (one.term != state.log.last_term())
            {
                break;
            }
            continue;
        }
        absl::StatusOr<membership> const members =
            decode_membership(one.payload);
        bool const readable =
            one.kind != entry_kind::membership || members.ok();
        if (one.index != state.log.last_index() + 1 || !readable)
        {
            state.life_cycle.stop();
            return;
        }
        state.log.append(one);
        if (one.kind == entry_kind::membership)
        {
            state.memberships.put(one.index, *members);
        }
    }

    // The entries became durable but their term did not. Nothing was sent in
    // that term, so no vote in it is lost.
    if (state.log.last_term() > state.hard_state.term)
    {
        state.set_hard_state(state.log.last_term(), host_id());
    }

    // Committed entries stay committed, so they are applied before there is a
    // leader: hosts that ask can be sent the state that was in force.
    this->applier.commit_through(
        std::min(event.hard_state.committed, state.log.last_index()));
}

void replica_parts::on(tick const&)
{
    if (this->core.role() != role::stopped)
    {
        this->core.record_commit_index();
    }
    if (this->core.role() == role::leader)
    {
        this->membership_changes.on_tick();
        this->leadership.on_tick();
    }
    else
    {
        this->elections.on_tick();
    }
}

void replica_parts::on(message_received const& event)
{
    if (this->core.role() != role::stopped &&
        !this->is_from_previous_incarnation(event))
    {
        this->dispatch(event.from, event.message);
    }
}

bool replica_parts::is_from_previous_incarnation(
    message_received const& event) const
{
    member const* const listed =
        this->core.memberships.current().find(event.from);
    return listed != nullptr &&
           this->core.enabled_safeguards.incarnation_check &&
           event.message.incarnation < listed->incarnation;
}

void replica_parts::dispatch(host_id const& from, message const& received)
{
    std::visit(
        [&](auto const& body)
        {
            using body_type = std::remove_cvref_t<decltype(body)>;
            if constexpr (std::is_same_v<body_type, pre_vote_request>)
            {
                this->elections.on_pre_vote_request(from, received, body);
            }
            else if constexpr (std::is_same_v<body_type, vote_request>)
            {
                this->elections.on_vote_request(from, received, body);
            }
            else if constexpr (std::is_same_v<body_type, timeout_now>)
            {
                this->elections.on_timeout_now(from, received);
            }
            else if constexpr (std::is_same_v<body_type, append_request> ||
                               std::is_same_v<body_type,
                                              install_snapshot_request>)
            {
                this->receive_from_leader(from, received);
            }
            else
            {
                this->receive_reply(from, received);
            }
        },
        received.body);
}

void replica_parts::receive_from_leader(host_id const& from,
                                        message const& received)
{
    append_request const* const request =
        std::get_if<append_request>(&received.body);
    if (received.term < this->core.hard_state.term)
    {
        // The term in the reply tells the old leader that it has been
        // superseded.
        this->core.send_after_sync(from, append_reply{});
        return;
    }
    this->core.adopt_term(received.term);
    if (this->core.role() == role::leader)
    {
        return;
    }
    this->core.leader = from;
    this->core.life_cycle.follow();
    this->elections.record_leader_contact();
    if (request != nullptr)
    {
        this->appends.on_append_request(from, *request);
    }
    else
    {
        this->snapshots.on_install_snapshot_request(
            from, std::get<install_snapshot_request>(received.body));
    }
}

void replica_parts::receive_reply(host_id const& from, message const& received)
{
    this->core.adopt_term(received.term);
    if (pre_vote_reply const* const pre =
            std::get_if<pre_vote_reply>(&received.body))
    {
        this->elections.on_pre_vote_reply(from, received, *pre);
        return;
    }
    if (vote_reply const* const vote = std::get_if<vote_reply>(&received.body))
    {
        this->elections.on_vote_reply(from, received, *vote);
        return;
    }
    if (this->core.role() != role::leader ||
        received.term != this->core.hard_state.term)
    {
        return;
    }
    if (append_reply const* const reply =
            std::get_if<append_reply>(&received.body))
    {
        this->leadership.on_append_reply(from, received.incarnation, *reply);
        return;
    }
    this->leadership.on_install_snapshot_reply(
        from, received.incarnation,
        std::get<install_snapshot_reply>(received.body));
}

void replica_parts::on(propose const& event)
{
    refusal reason = refusal::not_leader;
    if (this->core.role() == role::stopped)
    {
        reason = refusal::disk_failed;
    }
    else if (this->core.role() == role::leader)
    {
        if (!this->leader_handover.is_in_progress() &&
            !this->proposals.would_exceed_limits(event.payload.size()))
        {
            std::uint64_t const index =
                this->leadership.append(entry_kind::command, event.payload);
            this->proposals.add(index, event.token, event.payload.size());
            return;
        }
        reason = this->leader_handover.is_in_progress() ? refusal::handing_over
                                                        : refusal::no_room;
    }
    this->core.effects.add(
        proposal_refused{event.token, reason, this->core.leader});
}

void replica_parts::on(read_requested const& event)
{
    this->reads.on_read_requested(event.token);
}

void replica_parts::on(membership_change_requested const& event)
{
    this->membership_changes.on_change_requested(event);
}

void replica_parts::on(handover_requested const& event)
{
    this->leader_handover.on_handover_requested(event.target);
}

void replica_parts::on(commit_announcement_requested const&)
{
    if (this->core.role() == role::leader)
    {
        this->leadership.schedule_heartbeats();
    }
}

void replica_parts::on(snapshot_taken const& event)
{
    if (this->core.role() != role::stopped)
    {
        this->applier.on_snapshot_taken(event, this->leadership.needed_index());
    }
}

void replica_parts::on(disk_failed const&)
{
    this->core.leader = host_id();
    this->core.life_cycle.stop();
}

void replica_parts::handle_role_change(agreement::role before)
{
    this->core.update_role_from_membership();
    agreement::role const after = this->core.role();
    if (before == role::leader && after != role::leader)
    {
        this->proposals.abandon_all();
        this->reads.refuse_all();
        this->leader_handover.cancel();
        this->leadership.end();
        this->elections.restart_timer();
    }
    if (before != role::leader && after == role::leader)
    {
        this->core.leader = this->core.self;
        this->leadership.begin();
    }
}

void replica_parts::report_role()
{
    role_changed const current{this->core.role(), this->core.hard_state.term,
                               this->core.leader};
    bool const same = current.role == this->last_reported.role &&
                      current.term == this->last_reported.term &&
                      current.leader == this->last_reported.leader;
    if (!same)
    {
        this->last_reported = current;
        this->core.effects.add(current);
    }
}

} // namespace bilberrylead::agreement
