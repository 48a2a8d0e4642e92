#include "bilberrylead/entry/entry_reducer.hpp"

#include <algorithm>
#include <utility>

/// Requests under which upstreams end.
namespace bilberrylead::entry
{

/// How long the caller has to wait if the request must not run now, because
/// of what it did to upstreams.
std::optional<duration>
entry_reducer::crash_refusal(live_request const& request) const
{
    switch (this->crashes.verdict_of(request.digest))
    {
    case policy::crash_verdict::unrestricted:
        return std::nullopt;
    case policy::crash_verdict::refused:
        return this->chosen.crash_retry_after;
    case policy::crash_verdict::restricted:
        break;
    }
    bool const runs_already = std::any_of(
        this->live.begin(), this->live.end(),
        [&request](auto const& each)
        {
            return each.first != request.number &&
                   each.second.digest == request.digest &&
                   each.second.life.current() == request_state::running;
        });
    return runs_already || request.maybe_ran
               ? std::optional<duration>(this->chosen.retry_after)
               : std::nullopt;
}

void entry_reducer::note_loss(live_request const& request)
{
    if (request.digest == 0)
    {
        return;
    }
    upstream_id const& upstream = request.tried.back();
    switch (this->losses.record_loss(upstream, request.digest, this->now))
    {
    case policy::connection_loss_action::probe:
        this->out.push_back(probe_upstream{upstream, request.sent_to});
        return;
    case policy::connection_loss_action::wait:
        return;
    case policy::connection_loss_action::upstream_ended:
        this->note_crash(request.digest, upstream);
        return;
    }
}

void entry_reducer::on(upstream_probed const& happened)
{
    switch (happened.outcome)
    {
    case probe_outcome::taken:
        this->losses.record_responsive(happened.upstream);
        this->out.push_back(loss_settled{happened.upstream, false});
        return;
    case probe_outcome::refused:
        this->note_end(happened.upstream);
        return;
    case probe_outcome::silent:
        // A cut or a frozen upstream; the listing tells if it ended.
        return;
    }
}

/// Upstreams that are listed no more have ended.
void entry_reducer::find_ended()
{
    for (upstream_id const& upstream : this->losses.unresolved())
    {
        bool const is_listed =
            std::any_of(this->listed->begin(), this->listed->end(),
                        [&upstream](discovery::listed_upstream const& each)
                        {
                            return each.upstream.id == upstream;
                        });
        if (!is_listed)
        {
            this->note_end(upstream);
        }
    }
}

void entry_reducer::note_end(upstream_id const& upstream)
{
    std::vector<std::uint64_t> const digests =
        this->losses.record_ended(upstream, this->now);
    if (!digests.empty())
    {
        this->out.push_back(loss_settled{upstream, true});
    }
    for (std::uint64_t const digest : digests)
    {
        this->note_crash(digest, upstream);
    }
}

void entry_reducer::note_crash(std::uint64_t digest,
                               upstream_id const& upstream)
{
    std::optional<policy::crash_record> const changed =
        this->crashes.record_crash(digest, upstream, this->now);
    if (changed.has_value())
    {
        this->tell_own_record(*changed);
        this->refuse_crashing(digest);
    }
}

void entry_reducer::note_whole_answer(live_request const& request)
{
    std::optional<policy::crash_record> const cleared =
        this->crashes.clear(request.digest, this->now);
    if (cleared.has_value())
    {
        this->tell_own_record(*cleared);
    }
}

void entry_reducer::tell_own_record(policy::crash_record const& record)
{
    this->out.push_back(crash_record_changed{
        record, this->crashes.verdict_of(record.digest), false});
    this->out.push_back(tell_crash_records{{record}});
}

void entry_reducer::on(crash_records_heard const& happened)
{
    policy::crash_merge merged =
        this->crashes.merge(happened.records, this->now);
    for (policy::crash_record const& each : merged.changed)
    {
        policy::crash_verdict const verdict =
            this->crashes.verdict_of(each.digest);
        if (verdict != policy::crash_verdict::unrestricted)
        {
            this->out.push_back(crash_record_changed{each, verdict, true});
        }
        this->refuse_crashing(each.digest);
    }
    if (!merged.missing_at_sender.empty())
    {
        this->out.push_back(tell_crash_records{
            std::move(merged.missing_at_sender), happened.from});
    }
}

/// Requests that wait, or pause between tries, must not run any more.
void entry_reducer::refuse_crashing(std::uint64_t digest)
{
    if (this->crashes.verdict_of(digest) != policy::crash_verdict::refused)
    {
        return;
    }
    std::vector<request_number> waiting;
    for (auto const& [number, request] : this->live)
    {
        request_state const state = request.life.current();
        if (request.digest == digest && (state == request_state::waiting ||
                                         state == request_state::pausing))
        {
            waiting.push_back(number);
        }
    }
    for (request_number const number : waiting)
    {
        this->refuse(*this->find(number), refusal_reason::crashes_upstreams,
                     this->chosen.crash_retry_after);
    }
}

} // namespace bilberrylead::entry
