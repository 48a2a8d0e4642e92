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
    assert(bounds.longest_run > duration::zero());
    assert(bounds.spent_retention > duration::zero());
}

claim_verdict once_records::apply(claim const& command)
{
    // A process that was replaced gets no claim: whoever registered in its
    // place may already have told the caller how the request ended.
    if (this->is_superseded(command.entry_host, command.incarnation))
    {
        return this->refuse(claim_refusal::superseded_host);
    }
    work_digest const key = work_digest::of(command.key);
    auto const found = this->records.find(key);
    if (found != this->records.end())
    {
        return this->repeat(*found, command);
    }
    // Its answer is gone, but it ran or may have: never again.
    if (this->spent.contains(key))
    {
        return claim_outcome_unknown{};
    }
    work_digest const request = work_digest::of(command.request);
    if (this->given_up.contains(request))
    {
        return this->refuse(claim_refusal::given_up);
    }
    std::optional<claim_refusal> const refusal = this->refusal_of(command);
    if (refusal.has_value())
    {
        return this->refuse(*refusal);
    }
    claim_record record;
    record.body_digest = command.body_digest;
    record.request = work_digest::of(command.request);
    record.incarnation = command.incarnation;
    record.due = this->now + this->settings.longest_run;
    this->insert(key, command.key.caller, command.entry_host,
                 std::move(record));
    return claim_granted{};
}

void once_records::give_up(work_digest const& request)
{
    this->given_up.add(request, this->now + this->settings.longest_run);
}

claim_verdict once_records::repeat(record_map::value_type& found,
                                   claim const& command)
{
    claim_record& record = found.second;
    bool const same_request =
        record.request == work_digest::of(command.request);

    // Given back unrun: the next request may have it, but not the one that
    // gave up. Its claim may have been overtaken by its release; granted
    // now, nobody would run it and all repeats would wait.
    if (record.state == claim_state::released)
    {
        if (same_request ||
            this->given_up.contains(work_digest::of(command.request)))
        {
            return this->refuse(claim_refusal::given_up);
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
        // The same request asks again because the verdict was lost.
        if (same_request && record.incarnation == command.incarnation &&
            *record.entry_host == command.entry_host)
        {
            return claim_granted{};
        }
        // Its caller is told to ask again, with a new request. A late copy
        // of this claim must not be granted once the holder gave up.
        this->give_up(work_digest::of(command.request));
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
    // The first answer stays: callers may have seen it. An unknown outcome
    // becomes known when its holder turns out to be alive.
    if (record.state == claim_state::recorded ||
        record.state == claim_state::released)
    {
        return settle_result::already_settled;
    }
    record.answer = this->cut_to_room(command.answer);
    this->bytes_held += size_of(record.answer);
    this->settle(*found, claim_state::recorded, this->settings.retention);
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
        this->give_up(request);
    }
    if (found == this->records.end())
    {
        // The release overtook its claim. The mark it leaves lives as long
        // as a claim can be on its way.
        claim const late{command.key, 0, command.request, host_id(), 0};
        if (this->spent.contains(work_digest::of(command.key)) ||
            this->refusal_of(late).has_value())
        {
            return settle_result::no_record;
        }
        claim_record record;
        record.state = claim_state::released;
        record.request = work_digest::of(command.request);
        record.due = this->now + this->settings.longest_run;
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
    this->settle(*found, claim_state::released, this->settings.longest_run);
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
    this->settle(*found, claim_state::unknown, this->settings.retention);
    return settle_result::done;
}

registration once_records::apply(register_entry_host const& command)
{
    auto const known = this->incarnations.find(command.entry_host);
    bool const is_new = known == this->incarnations.end();
    if (!is_new && command.incarnation <= known->second)
    {
        return {command.incarnation == known->second, known->second, 0};
    }
    if (command.entry_host.text().size() > this->settings.longest_name ||
        (is_new && this->incarnations.size() >= this->settings.largest_hosts))
    {
        return {};
    }
    this->incarnations[command.entry_host] = command.incarnation;

    // The earlier process is gone, or must count as gone. Its open claims
    // may have run; only "unknown" is true of them.
    registration result{true, command.incarnation, 0};
    for (record_map::value_type& entry : this->records)
    {
        claim_record const& record = entry.second;
        if (record.state == claim_state::open &&
            *record.entry_host == command.entry_host &&
            record.incarnation < command.incarnation)
        {
            this->settle(entry, claim_state::unknown, this->settings.retention);
            ++result.outcomes_unknown;
        }
    }
    return result;
}

duration once_records::apply(advance_time const& command)
{
    this->now += std::clamp(command.elapsed, duration::zero(),
                            this->settings.largest_time_step);
    this->fall_due();
    return this->now;
}

void once_records::fall_due()
{
    this->spent.expire(this->now);
    this->given_up.expire(this->now);
    while (!this->due.empty() && this->due.begin()->first <= this->now)
    {
        auto const found = this->records.find(*this->due.begin()->second);
        assert(found != this->records.end());
        this->expire(found);
    }
}

void once_records::expire(record_map::iterator found)
{
    claim_state const state = found->second.state;
    if (state == claim_state::open)
    {
        this->settle(*found, claim_state::unknown, this->settings.retention);
        return;
    }
    // A key that must not run again moves on to the spent ones. Without
    // room there the record stays: new claims are refused sooner than an
    // old one is forgotten.
    if (state != claim_state::released &&
        !this->spent.add(found->first, this->now))
    {
        this->settle(*found, state, this->settings.largest_time_step);
        return;
    }
    this->erase(found);
}

std::optional<claim_refusal>
once_records::refusal_of(claim const& command) const
{
    std::size_t const longest = this->settings.longest_name;
    for (std::string const* name :
         {&command.key.service.text(), &command.key.caller.text(),
          &command.key.idempotency_key, &command.request.text(),
          &command.entry_host.text()})
    {
        if (name->size() > longest)
        {
            return claim_refusal::key_too_long;
        }
    }
    bool const is_known_host = this->incarnations.contains(command.entry_host);
    if (this->records.size() >= this->settings.largest_records ||
        (!is_known_host &&
         this->incarnations.size() >= this->settings.largest_hosts))
    {
        return claim_refusal::no_room;
    }
    auto const held = this->records_of_caller.find(command.key.caller);
    if (held != this->records_of_caller.end() &&
        held->second >= this->settings.largest_records_per_caller)
    {
        return claim_refusal::caller_share;
    }
    return std::nullopt;
}

claim_verdict once_records::refuse(claim_refusal reason) const
{
    claim_refused refused{reason, duration::zero()};
    if (reason == claim_refusal::no_room && !this->due.empty())
    {
        refused.retry_after = this->due.begin()->first - this->now;
    }
    return refused;
}

void once_records::insert(work_digest const& key, caller_id const& caller,
                          host_id const& host, claim_record record)
{
    // A host that claims before it registered is known from now on.
    record.entry_host =
        &this->incarnations.emplace(host, record.incarnation).first->first;
    record.caller = &*this->records_of_caller.emplace(caller, 0).first;
    ++record.caller->second;
    this->bytes_held += size_of(record.answer);
    duration const due_at = record.due;
    auto const placed = this->records.emplace(key, std::move(record)).first;
    this->due.emplace(due_at, &placed->first);
}

void once_records::erase(record_map::iterator found)
{
    claim_record& record = found->second;
    this->bytes_held -= size_of(record.answer);
    if (--record.caller->second == 0)
    {
        this->records_of_caller.erase(caller_id(record.caller->first));
    }
    this->due.erase({record.due, &found->first});
    this->records.erase(found);
}

void once_records::settle(record_map::value_type& found, claim_state state,
                          duration kept_for)
{
    this->due.erase({found.second.due, &found.first});
    found.second.state = state;
    found.second.due = this->now + kept_for;
    this->due.emplace(found.second.due, &found.first);
}

recorded_answer once_records::cut_to_room(recorded_answer answer) const
{
    if (answer.body.size() > this->settings.largest_recorded_body ||
        answer.content_type.size() > this->settings.longest_name ||
        this->bytes_held + size_of(answer) > this->settings.largest_total_bytes)
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
    auto const known = this->incarnations.find(host);
    return known != this->incarnations.end() && incarnation < known->second;
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

std::size_t once_records::held_bytes() const
{
    return this->bytes_held;
}

duration once_records::log_time() const
{
    return this->now;
}

} // namespace bilberrylead::once
