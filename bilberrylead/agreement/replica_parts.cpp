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
                             std::uint64_t seed, safeguards const& switches)
    : core(self, incarnation, settings, seed, switches), proposals(core),
      applier(core, proposals), votes(core), appends(core, applier),
      snapshots(core, applier), office(core, applier), reads(core, office),
      changes(core, office, proposals), planned_stop(core, office)
{
}

void replica_parts::begin(instant now)
{
    this->core.now = now;
    this->core.durable_index = this->core.log.last_index();
    if (this->core.role() == role::leader)
    {
        // Before anything else: a leader that was frozen must not act on
        // its first event as if no time had passed.
        this->office.start_round();
        this->office.check_quorum();
        this->settle_role(role::leader);
    }
}

void replica_parts::take(event const& what)
{
    agreement::role const before = this->core.role();
    std::visit(
        [this](auto const& one)
        {
            this->on(one);
        },
        what);
    this->settle_role(before);
}

std::vector<effect> replica_parts::finish()
{
    if (this->core.role() == role::leader)
    {
        this->planned_stop.go_on();
        this->office.flush();
        this->settle_role(role::leader);
    }
    if (this->core.role() == role::leader)
    {
        this->reads.answer_confirmed();
    }
    this->report_role();
    return this->core.out.take();
}

void replica_parts::on(started const& what)
{
    // Before the restart it may have answered a leader that still counts
    // on this answer for its lease.
    this->votes.heard_leader();
    bool const blank = !what.snapshot.has_value() && what.entries.empty() &&
                       what.hard_state.term == 0;
    if (blank && what.founding.has_value())
    {
        this->found_group(*what.founding);
        return;
    }
    this->core.hard_state = what.hard_state;
    this->recover_log(what);
}

void replica_parts::found_group(membership const& founding)
{
    // The same entry at every founder, as if a leader of term 1 had
    // brought it; the first real leader commits it.
    log_entry first{1, 1, entry_kind::membership, encode_membership(founding)};
    this->core.set_hard_state(1, host_id());
    this->core.log.append(first);
    this->core.memberships.put(1, founding);
    this->core.out.write(append_entries{1, {std::move(first)}});
}

void replica_parts::recover_log(started const& what)
{
    replica_core& to = this->core;
    if (what.snapshot.has_value())
    {
        to.latest_snapshot = std::make_shared<snapshot const>(*what.snapshot);
        to.log.reset(what.snapshot->last_index, what.snapshot->last_term);
        to.memberships.reset(what.snapshot->last_index,
                             what.snapshot->membership);
        to.commit_index = what.snapshot->last_index;
        to.out.add(restore{*what.snapshot});
    }
    for (log_entry const& one : what.entries)
    {
        if (one.index < to.log.base_index())
        {
            continue;
        }
        if (one.index == to.log.base_index())
        {
            // Another leader's log, from before the snapshot replaced it.
            if (one.term != to.log.last_term())
            {
                break;
            }
            continue;
        }
        absl::StatusOr<membership> const members =
            decode_membership(one.payload);
        bool const readable =
            one.kind != entry_kind::membership || members.ok();
        if (one.index != to.log.last_index() + 1 || !readable)
        {
            to.life.stop();
            return;
        }
        to.log.append(one);
        if (one.kind == entry_kind::membership)
        {
            to.memberships.put(one.index, *members);
        }
    }

    // Entries became durable and their term did not: nothing was answered
    // in that term, so that no vote in it is lost.
    if (to.log.last_term() > to.hard_state.term)
    {
        to.set_hard_state(to.log.last_term(), host_id());
    }

    // What was committed once stays so: the state is whole again before
    // there is a leader, and hosts that ask get what was in force.
    this->applier.commit_through(
        std::min(what.hard_state.committed, to.log.last_index()));
}

void replica_parts::on(tick const&)
{
    if (this->core.role() != role::stopped)
    {
        this->core.note_commit();
    }
    if (this->core.role() == role::leader)
    {
        this->changes.on_tick();
        this->office.on_tick();
    }
    else
    {
        this->votes.on_tick();
    }
}

void replica_parts::on(message_received const& what)
{
    if (this->core.role() != role::stopped && !this->is_from_former_self(what))
    {
        this->dispatch(what.from, what.message);
    }
}

bool replica_parts::is_from_former_self(message_received const& what) const
{
    member const* const listed =
        this->core.memberships.current().find(what.from);
    return listed != nullptr && this->core.switches.incarnation_check &&
           what.message.incarnation < listed->incarnation;
}

void replica_parts::dispatch(host_id const& from, message const& whole)
{
    std::visit(
        [&](auto const& body)
        {
            using body_type = std::remove_cvref_t<decltype(body)>;
            if constexpr (std::is_same_v<body_type, pre_vote_request>)
            {
                this->votes.on_pre_vote_request(from, whole, body);
            }
            else if constexpr (std::is_same_v<body_type, vote_request>)
            {
                this->votes.on_vote_request(from, whole, body);
            }
            else if constexpr (std::is_same_v<body_type, timeout_now>)
            {
                this->votes.on_timeout_now(from, whole);
            }
            else if constexpr (std::is_same_v<body_type, append_request> ||
                               std::is_same_v<body_type,
                                              install_snapshot_request>)
            {
                this->receive_from_leader(from, whole);
            }
            else
            {
                this->receive_reply(from, whole);
            }
        },
        whole.body);
}

void replica_parts::receive_from_leader(host_id const& from,
                                        message const& whole)
{
    append_request const* const request =
        std::get_if<append_request>(&whole.body);
    if (whole.term < this->core.hard_state.term)
    {
        // The term in the answer tells the old leader that it is one.
        this->core.answer(from, append_reply{});
        return;
    }
    this->core.adopt_term(whole.term);
    if (this->core.role() == role::leader)
    {
        return;
    }
    this->core.leader = from;
    this->core.life.follow();
    this->votes.heard_leader();
    if (request != nullptr)
    {
        this->appends.on_append_request(from, *request);
    }
    else
    {
        this->snapshots.on_install_snapshot_request(
            from, std::get<install_snapshot_request>(whole.body));
    }
}

void replica_parts::receive_reply(host_id const& from, message const& whole)
{
    this->core.adopt_term(whole.term);
    if (pre_vote_reply const* const pre =
            std::get_if<pre_vote_reply>(&whole.body))
    {
        this->votes.on_pre_vote_reply(from, whole, *pre);
        return;
    }
    if (vote_reply const* const vote = std::get_if<vote_reply>(&whole.body))
    {
        this->votes.on_vote_reply(from, whole, *vote);
        return;
    }
    if (this->core.role() != role::leader ||
        whole.term != this->core.hard_state.term)
    {
        return;
    }
    if (append_reply const* const reply =
            std::get_if<append_reply>(&whole.body))
    {
        this->office.on_append_reply(from, whole.incarnation, *reply);
        return;
    }
    this->office.on_install_snapshot_reply(
        from, whole.incarnation, std::get<install_snapshot_reply>(whole.body));
}

void replica_parts::on(propose const& what)
{
    refusal reason = refusal::not_leader;
    if (this->core.role() == role::stopped)
    {
        reason = refusal::disk_failed;
    }
    else if (this->core.role() == role::leader)
    {
        if (!this->planned_stop.under_way() &&
            !this->proposals.full(what.payload.size()))
        {
            std::uint64_t const index =
                this->office.append(entry_kind::command, what.payload);
            this->proposals.opened(index, what.token, what.payload.size());
            return;
        }
        reason = this->planned_stop.under_way() ? refusal::handing_over
                                                : refusal::no_room;
    }
    this->core.out.add(proposal_refused{what.token, reason, this->core.leader});
}

void replica_parts::on(read_requested const& what)
{
    this->reads.on_read_requested(what.token);
}

void replica_parts::on(membership_change_requested const& what)
{
    this->changes.on_change_requested(what);
}

void replica_parts::on(handover_requested const& what)
{
    this->planned_stop.on_handover_requested(what.target);
}

void replica_parts::on(snapshot_taken const& what)
{
    if (this->core.role() != role::stopped)
    {
        this->applier.on_snapshot_taken(what, this->office.needed_index());
    }
}

void replica_parts::on(disk_failed const&)
{
    this->core.leader = host_id();
    this->core.life.stop();
}

void replica_parts::settle_role(agreement::role before)
{
    this->core.match_role_to_membership();
    agreement::role const after = this->core.role();
    if (before == role::leader && after != role::leader)
    {
        this->proposals.give_up();
        this->reads.refuse_all();
        this->planned_stop.end();
        this->office.end();
        this->votes.restart_timer();
    }
    if (before != role::leader && after == role::leader)
    {
        this->core.leader = this->core.self;
        this->office.begin();
    }
}

void replica_parts::report_role()
{
    role_changed const present{this->core.role(), this->core.hard_state.term,
                               this->core.leader};
    bool const same = present.role == this->reported.role &&
                      present.term == this->reported.term &&
                      present.leader == this->reported.leader;
    if (!same)
    {
        this->reported = present;
        this->core.out.add(present);
    }
}

} // namespace bilberrylead::agreement
