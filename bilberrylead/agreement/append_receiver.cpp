#include "bilberrylead/agreement/append_receiver.hpp"

#include "bilberrylead/agreement/codec.hpp"

#include <absl/status/statusor.h>

#include <algorithm>

namespace bilberrylead::agreement
{

append_receiver::append_receiver(replica_core& shared, log_applier& to_apply)
    : core(shared), applier(to_apply)
{
}

void append_receiver::on_append_request(host_id const& from,
                                        append_request const& request)
{
    if (!this->is_well_formed(request))
    {
        return;
    }
    if (!this->fits(request))
    {
        this->reject(from, request);
        return;
    }
    this->store(request);

    // Only the prefix that this request verified may be committed: the log may
    // hold further entries from a leader that has since been deposed.
    std::uint64_t const agreed =
        request.previous_index + request.entries.size();
    this->applier.commit_through(std::min(request.commit_index, agreed));
    this->core.send_after_sync(
        from,
        append_reply{request.round, true, agreed, 0, 0,
                     this->core.commit_index},
        this->core.enabled_safeguards.durable_entries_before_answer);
}

bool append_receiver::is_well_formed(append_request const& request) const
{
    std::uint64_t expected = request.previous_index;
    for (log_entry const& one : request.entries)
    {
        ++expected;
        if (one.index != expected || one.term == 0 ||
            one.term > this->core.hard_state.term)
        {
            return false;
        }
        if (one.kind == entry_kind::membership &&
            !decode_membership(one.payload).ok())
        {
            return false;
        }
    }
    return true;
}

bool append_receiver::fits(append_request const& request) const
{
    // Committed entries are the same in every leader's log.
    if (request.previous_index <= this->core.commit_index)
    {
        return true;
    }
    return this->core.log.term_at(request.previous_index) ==
           request.previous_term;
}

/// Sets retry_index to the start of the conflicting run of entries with one
/// term, so that the leader backs up one term at a time instead of one entry.
void append_receiver::reject(host_id const& from, append_request const& request)
{
    replica_log const& log = this->core.log;
    std::uint64_t retry = log.last_index() + 1;
    if (request.previous_index <= log.last_index())
    {
        retry = std::max(log.first_of_term(request.previous_index),
                         this->core.commit_index + 1);
    }
    this->core.send_after_sync(
        from, append_reply{
                  request.round, false, 0, request.previous_index, retry, {}});
}

void append_receiver::store(append_request const& request)
{
    replica_log& log = this->core.log;
    append_entries written;
    for (log_entry const& next : request.entries)
    {
        if (next.index <= this->core.commit_index ||
            log.term_at(next.index) == next.term)
        {
            continue;
        }
        if (next.index <= log.last_index())
        {
            log.truncate_from(next.index);
            this->core.memberships.truncate_from(next.index);
        }
        if (written.entries.empty())
        {
            written.from_index = next.index;
        }
        written.entries.push_back(next);
        this->append(next);
    }
    if (!written.entries.empty())
    {
        this->core.effects.write(std::move(written));
    }
}

void append_receiver::append(log_entry const& next)
{
    this->core.log.append(next);
    if (next.kind == entry_kind::membership)
    {
        this->core.memberships.put(next.index,
                                   *decode_membership(next.payload));
    }
}

} // namespace bilberrylead::agreement
