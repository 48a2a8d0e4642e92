#include "bilberrylead/once/once_records.hpp"

#include <algorithm>
#include <cassert>
#include <string>
#include <vector>

namespace bilberrylead::once
{

namespace
{

std::size_t size_of(recorded_answer const& answer)
{
    return answer.content_type.size() + answer.body.size();
}

} // namespace

once_records::once_records(once_settings const& bounds)
    : settings(bounds), spent(bounds)
{
    assert(bounds.retention > duration::zero());
    assert(bounds.max_run_time > duration::zero());
    assert(bounds.spent_retention > duration::zero());
}

claim_verdict once_records::apply(claim const& command)
{
    // A superseded process gets no claim: its successor may already have
    // reported the outcome of the request to the caller.
    if (this->is_superseded(command.entry_host, command.incarnation))
    {
        return this->refuse(claim_refusal::superseded_host);
    }
    work_digest const key = work_digest::of(command.key);
    auto const found = this->records.find(key);
    if (found != this->records.end())
    {
        return this->decide_existing(*found, command);
    }
    // The work ran or may have run, and its answer is no longer kept. It must
    // not run again.
    if (this->spent.contains(key))
    {
        return claim_outcome_unknown{};
    }
    work_digest const request = work_digest::of(command.request);
    if (this->abandoned.contains(request))
    {
        return this->refuse(claim_refusal::abandoned);
    }
    std::optional<claim_refusal> const refusal = this->find_refusal(command);
    if (refusal.has_value())
    {
        return this->refuse(*refusal);
    }
    claim_record record;
    record.body_digest = command.body_digest;
    record.request = work_digest::of(command.request);
    record.incarnation = command.incarnation;
    record.expires_at = this->now + this->settings.max_run_time;
    this->insert(key, command.key.caller, command.entry_host,
                 std::move(record));
    return claim_granted{};
}

void once_records::abandon(work_digest const& request)
{
    this->abandoned.add(request, this->now + this->settings.max_run_time);
}

claim_verdict once_records::decide_existing(record_map::value_type& found,
                                            claim const& command)
{
    claim_record& record = found.second;
    bool const same_request =
        record.request == work_digest::of(command.request);

    // The work was released without a run. Another request may claim it, but
    // not a request that abandoned it: its release may have overtaken its
    // claim. If that claim were granted now, no request would run the work and
    // all repeats would wait.
    if (record.state == claim_state::released)
    {
        if (same_request ||
            this->abandoned.contains(work_digest::of(command.request)))
        {
            return this->refuse(claim_refusal::abandoned);
        }
        this->erase(this->records.find(found.first));
        return this->apply(command);
    }
    if (record.body_digest != command.body_digest)
    {
        return claim_mismatch{};
    }
    switch (record.state)
    {
    case claim_state::open:
        // The same request resends its claim because the verdict was lost.
        if (same_request && record.incarnation == command.incarnation &&
            *record.entry_host == command.entry_host)
        {
            return claim_granted{};
        }
        // The caller is told to repeat with a new request. A late copy of this
        // claim must not be granted after the holder has released the work.
        this->abandon(work_digest::of(command.request));
        return claim_in_progress{};
    case claim_state::recorded:
        return claim_recorded{record.answer};
    case claim_state::unknown:
    case claim_state::released:
        break;
    }
    return claim_outcome_unknown{};
}

settle_result once_records::apply(complete const& command)
{
    auto const found = this->records.find(work_digest::of(command.key));
    if (found == this->records.end())
    {
        return settle_result::no_record;
    }
    claim_record& record = found->second;
    if (record.request != work_digest::of(command.request))
    {
        return settle_result::not_holder;
    }
    // The first answer is kept, because callers may have received it. An
    // unknown outcome is replaced by the answer if its holder still reports it.
    if (record.state == claim_state::recorded ||
        record.state == claim_state::released)
    {
        return settle_result::already_settled;
    }
    record.answer = this->fit_answer(command.answer);
    this->held_answer_bytes += size_of(record.answer);
    this->set_state(*found, claim_state::recorded, this->settings.retention);
    return settle_result::done;
}

settle_result once_records::apply(release const& command)
{
    auto const found = this->records.find(work_digest::of(command.key));
    work_digest const request = work_digest::of(command.request);
    bool const is_settled = found != this->records.end() &&
                            found->second.request == request &&
                            found->second.state != claim_state::open;
    if (!is_settled)
    {
        this->abandon(request);
    }
    if (found == this->records.end())
    {
        // The release overtook its claim. The released record that it leaves
        // lives as long as a claim can be in flight.
        claim const overtaken_claim{command.key, 0, command.request, host_id(),
                                    0};
        if (this->spent.contains(work_digest::of(command.key)) ||
            this->find_refusal(overtaken_claim).has_value())
        {
            return settle_result::no_record;
        }
        claim_record record;
        record.state = claim_state::released;
        record.request = work_digest::of(command.request);
        record.expires_at = this->now + this->settings.max_run_time;
        this->insert(work_digest::of(command.key), command.key.caller,
                     host_id(), std::move(record));
        return settle_result::done;
    }
    if (found->second.request != work_digest::of(command.request))
    {
        return settle_result::not_holder;
    }
    if (found->second.state == claim_state::recorded ||
        found->second.state == claim_state::released)
    {
        return settle_result::already_settled;
    }
    this->set_state(*found, claim_state::released, this->settings.max_run_time);
    return settle_result::done;
}

settle_result once_records::apply(mark_unknown const& command)
{
    auto const found = this->records.find(work_digest::of(command.key));
    if (found == this->records.end())
    {
        return settle_result::no_record;
    }
    if (found->second.request != work_digest::of(command.request))
    {
        return settle_result::not_holder;
    }
    if (found->second.state != claim_state::open)
    {
        return settle_result::already_settled;
    }
    this->set_state(*found, claim_state::unknown, this->settings.retention);
    return settle_result::done;
}

registration once_records::apply(register_entry_host const& command)
{
    auto const registered = this->incarnations.find(command.entry_host);
    bool const is_new = registered == this->incarnations.end();
    if (!is_new && command.incarnation <= registered->second)
    {
        return {command.incarnation == registered->second, registered->second,
                0};
    }
    if (command.entry_host.text().size() > this->settings.max_name_bytes ||
        (is_new && this->incarnations.size() >= this->settings.max_hosts))
    {
        return {};
    }
    this->incarnations[command.entry_host] = command.incarnation;

    // The previous process has ended or must be treated as ended. The work of
    // its open claims may have run, so its outcome is unknown.
    registration result{true, command.incarnation, 0};
    for (record_map::value_type& entry : this->records)
    {
        claim_record const& record = entry.second;
        if (record.state == claim_state::open &&
            *record.entry_host == command.entry_host &&
            record.incarnation < command.incarnation)
        {
            this->set_state(entry, claim_state::unknown,
                            this->settings.retention);
            ++result.outcomes_unknown;
        }
    }
    return result;
}

duration once_records::apply(advance_time const& command)
{
    this->now += std::clamp(command.elapsed, duration::zero(),
                            this->settings.max_time_step);
    this->expire_due_records();
    return this->now;
}

void once_records::expire_due_records()
{
    this->spent.expire(this->now);
    this->abandoned.expire(this->now);
    while (!this->expiry_queue.empty() &&
           this->expiry_queue.begin()->first <= this->now)
    {
        auto const found =
            this->records.find(*this->expiry_queue.begin()->second);
        assert(found != this->records.end());
        this->expire_record(found);
    }
}

void once_records::expire_record(record_map::iterator found)
{
    claim_state const state = found->second.state;
    if (state == claim_state::open)
    {
        this->set_state(*found, claim_state::unknown, this->settings.retention);
        return;
    }
    // A key whose work must not run again becomes a spent key. If the spent
    // keys are full, the record is kept: refusing new claims is safer than
    // dropping a key whose work could then run again.
    if (state != claim_state::released &&
        !this->spent.add(found->first, this->now))
    {
        this->set_state(*found, state, this->settings.max_time_step);
        return;
    }
    this->erase(found);
}

std::optional<claim_refusal>
once_records::find_refusal(claim const& command) const
{
    std::size_t const max_bytes = this->settings.max_name_bytes;
    for (std::string const* name :
         {&command.key.service.text(), &command.key.caller.text(),
          &command.key.idempotency_key, &command.request.text(),
          &command.entry_host.text()})
    {
        if (name->size() > max_bytes)
        {
            return claim_refusal::key_too_long;
        }
    }
    bool const is_registered_host =
        this->incarnations.contains(command.entry_host);
    if (this->records.size() >= this->settings.max_records ||
        (!is_registered_host &&
         this->incarnations.size() >= this->settings.max_hosts))
    {
        return claim_refusal::no_room;
    }
    auto const held = this->record_count_by_caller.find(command.key.caller);
    if (held != this->record_count_by_caller.end() &&
        held->second >= this->settings.max_records_per_caller)
    {
        return claim_refusal::caller_share;
    }
    return std::nullopt;
}

claim_verdict once_records::refuse(claim_refusal reason) const
{
    claim_refused refused{reason, duration::zero()};
    if (reason == claim_refusal::no_room && !this->expiry_queue.empty())
    {
        refused.retry_after = this->expiry_queue.begin()->first - this->now;
    }
    return refused;
}

void once_records::insert(work_digest const& key, caller_id const& caller,
                          host_id const& host, claim_record record)
{
    // Registers a host that claims before it has registered itself.
    record.entry_host =
        &this->incarnations.emplace(host, record.incarnation).first->first;
    record.caller = &*this->record_count_by_caller.emplace(caller, 0).first;
    ++record.caller->second;
    this->held_answer_bytes += size_of(record.answer);
    duration const expires_at = record.expires_at;
    auto const inserted = this->records.emplace(key, std::move(record)).first;
    this->expiry_queue.emplace(expires_at, &inserted->first);
}

void once_records::erase(record_map::iterator found)
{
    claim_record& record = found->second;
    this->held_answer_bytes -= size_of(record.answer);
    if (--record.caller->second == 0)
    {
        this->record_count_by_caller.erase(caller_id(record.caller->first));
    }
    this->expiry_queue.erase({record.expires_at, &found->first});
    this->records.erase(found);
}

void once_records::set_state(record_map::value_type& found, claim_state state,
                             duration lifetime)
{
    this->expiry_queue.erase({found.second.expires_at, &found.first});
    found.second.state = state;
    found.second.expires_at = this->now + lifetime;
    this->expiry_queue.emplace(found.second.expires_at, &found.first);
}

recorded_answer once_records::fit_answer(recorded_answer answer) const
{
    if (answer.body.size() > this->settings.max_answer_body_bytes ||
        answer.content_type.size() > this->settings.max_name_bytes ||
        this->held_answer_bytes + size_of(answer) >
            this->settings.max_total_answer_bytes)
    {
        answer.body = bytes();
        answer.content_type.clear();
        answer.body_dropped = true;
    }
    return answer;
}

bool once_records::is_superseded(host_id const& host,
                                 std::uint64_t incarnation) const
{
    auto const registered = this->incarnations.find(host);
    return registered != this->incarnations.end() &&
           incarnation < registered->second;
}

std::optional<claim_state> once_records::state_of(claim_key const& key) const
{
    work_digest const digest = work_digest::of(key);
    auto const found = this->records.find(digest);
    if (found != this->records.end())
    {
        return found->second.state;
    }
    return this->spent.contains(digest) ? std::optional(claim_state::unknown)
                                        : std::nullopt;
}

std::size_t once_records::size() const
{
    return this->records.size();
}

std::size_t once_records::spent_size() const
{
    return this->spent.size();
}

std::size_t once_records::answer_bytes() const
{
    return this->held_answer_bytes;
}

duration once_records::log_time() const
{
    return this->now;
}

} // namespace bilberrylead::once
