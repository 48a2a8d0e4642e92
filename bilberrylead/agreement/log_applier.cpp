#include "bilberrylead/agreement/log_applier.hpp"

#include <algorithm>

namespace bilberrylead::agreement
{

log_applier::log_applier(replica_core& shared, pending_proposals& waiting)
    : core(shared), proposals(waiting)
{
}

void log_applier::commit_through(std::uint64_t index)
{
    while (this->core.commit_index < index)
    {
        ++this->core.commit_index;
        this->core.effects.add(
            apply{this->core.log.at(this->core.commit_index)});
        this->proposals.on_committed(this->core.commit_index);
    }
    this->request_snapshot_if_due();
}

void log_applier::request_snapshot_if_due()
{
    std::uint64_t const covered =
        this->core.latest_snapshot ? this->core.latest_snapshot->last_index : 0;

    // The threshold also counts from the last request: a state too large to be
    // stored must not be encoded again with every entry.
    std::uint64_t const last_request_index =
        std::max(covered, this->snapshot_requested_at_index);
    bool const due =
        this->core.commit_index >=
        last_request_index + this->core.settings.snapshot_threshold;
    if (due && !this->snapshot_requested)
    {
        this->snapshot_requested = true;
        this->snapshot_requested_at_index = this->core.commit_index;
        this->core.effects.add(take_snapshot{this->core.commit_index});
    }
}

void log_applier::install(std::shared_ptr<snapshot const> const& received)
{
    std::uint64_t const index = received->last_index;
    replica_log& log = this->core.log;

    // If the log matches at the snapshot's last entry, its later entries are
    // kept: they may have been counted towards a quorum.
    bool const agrees = log.term_at(index) == received->last_term;
    if (agrees)
    {
        log.drop_through(index);
        this->core.memberships.drop_before(index);
    }
    else
    {
        log.reset(index, received->last_term);
        this->core.memberships.reset(index, received->membership);
    }
    this->core.latest_snapshot = received;
    this->core.commit_index = index;
    this->core.effects.write(persist_snapshot{*received, !agrees});
    this->core.effects.add(restore{*received});
    this->snapshot_requested = false;
}

void log_applier::on_snapshot_taken(snapshot_taken const& taken,
                                    std::uint64_t needed_index)
{
    replica_log& log = this->core.log;
    bool const usable =
        taken.index > log.base_index() &&
        taken.index <= this->core.commit_index &&
        taken.state.size() <= this->core.settings.max_snapshot_bytes;
    this->snapshot_requested = false;
    if (!usable)
    {
        return;
    }
    this->core.latest_snapshot = std::make_shared<snapshot const>(
        snapshot{taken.index, log.at(taken.index).term,
                 this->core.memberships.at(taken.index), taken.state});
    this->core.effects.write(
        persist_snapshot{*this->core.latest_snapshot, false});

    // A member that is slightly behind, or is receiving a snapshot, continues
    // from the log. Without a limit such a member could make the log fill the
    // memory.
    replica_settings const& bounds = this->core.settings;
    std::uint64_t const retained_after =
        taken.index - std::min(taken.index, bounds.kept_entries);
    std::uint64_t const max_log_length = 4 * bounds.snapshot_threshold;
    std::uint64_t const oldest =
        taken.index - std::min(taken.index, max_log_length);
    std::uint64_t const through =
        std::max(oldest, std::min(retained_after, needed_index));
    if (through > log.base_index())
    {
        log.drop_through(through);
        this->core.memberships.drop_before(through);
        this->core.effects.add(drop_log_prefix{through});
    }
}

} // namespace bilberrylead::agreement
