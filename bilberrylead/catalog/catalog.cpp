#include "bilberrylead/catalog/catalog.hpp"

#include <xxhash.h>

#include <cassert>
#include <utility>

namespace bilberrylead::catalog
{

namespace
{

std::uint64_t digest_of(bytes const& document)
{
    return XXH64(document.data(), document.size(), 0);
}

bool is_same_change(audit_entry const& entry, change_command const& command,
                    std::uint64_t digest)
{
    return entry.base_revision == command.base_revision &&
           entry.operator_name == command.operator_name &&
           entry.document_bytes == command.document.size() &&
           entry.document_digest == digest;
}

} // namespace

catalog::catalog(catalog_settings const& bounds) : settings(bounds)
{
    assert(bounds.audit_window > 0);
    assert(bounds.kept_revisions > 0);
}

change_outcome catalog::apply(change_command const& command)
{
    std::uint64_t const digest = digest_of(command.document);
    audit_entry const* const first = this->first_entry(command.change);
    if (first != nullptr)
    {
        if (!is_same_change(*first, command, digest))
        {
            change_outcome const reused = change_id_reused{};
            this->record(command, digest, reused);
            return reused;
        }
        // The answer was lost and the operator asks again; the trail has
        // the change already.
        change_accepted const* const accepted =
            std::get_if<change_accepted>(&first->result);
        return accepted == nullptr
                   ? first->result
                   : change_already_accepted{accepted->accepted};
    }

    change_outcome const result = this->decide(command);
    if (std::holds_alternative<change_accepted>(result))
    {
        ++this->latest;
        this->document_bytes += command.document.size();
        this->revisions.push_back(
            {this->latest, command.change, command.document});
        this->drop_old_revisions();
    }
    this->record(command, digest, result);
    return result;
}

change_outcome catalog::decide(change_command const& command) const
{
    if (command.base_revision == this->latest)
    {
        return change_accepted{this->latest + 1};
    }
    return this->conflict_of(command);
}

change_conflict catalog::conflict_of(change_command const& command) const
{
    change_conflict conflict{this->latest, change_id(), {}};
    auto const winner = this->accepted_number.find(command.base_revision + 1);
    if (winner != this->accepted_number.end())
    {
        audit_entry const& entry =
            this->trail.at(winner->second - this->trail.front().number);
        conflict.winner = entry.change;
        conflict.winner_operator = entry.operator_name;
    }
    return conflict;
}

audit_entry const* catalog::first_entry(change_id const& change) const
{
    auto const found = this->first_number.find(change);
    if (found == this->first_number.end())
    {
        return nullptr;
    }
    return &this->trail.at(found->second - this->trail.front().number);
}

void catalog::record(change_command const& command, std::uint64_t digest,
                     change_outcome const& result)
{
    // Makes room first: the oldest change's first answer is forgotten with
    // its entry.
    if (this->trail.size() >= this->settings.audit_window)
    {
        audit_entry const& oldest = this->trail.front();
        auto const first = this->first_number.find(oldest.change);
        if (first != this->first_number.end() && first->second == oldest.number)
        {
            this->first_number.erase(first);
        }
        change_accepted const* const accepted =
            std::get_if<change_accepted>(&oldest.result);
        if (accepted != nullptr)
        {
            this->accepted_number.erase(accepted->accepted);
        }
        this->trail.pop_front();
    }
    this->remember({++this->audited, command.change, command.operator_name,
                    command.accepted_at, command.base_revision, digest,
                    command.document.size(), result});
}

void catalog::remember(audit_entry const& entry)
{
    // A reused id never stands for the first change, not even once that has
    // left the trail: a replica restored from a snapshot, which sees only
    // what is left, would answer differently from one that saw it all.
    if (!std::holds_alternative<change_id_reused>(entry.result))
    {
        this->first_number.emplace(entry.change, entry.number);
    }
    change_accepted const* const accepted =
        std::get_if<change_accepted>(&entry.result);
    if (accepted != nullptr)
    {
        this->accepted_number.emplace(accepted->accepted, entry.number);
    }
    this->trail.push_back(entry);
}

void catalog::drop_old_revisions()
{
    while (this->revisions.size() > 1 &&
           (this->revisions.size() > this->settings.kept_revisions ||
            this->document_bytes > this->settings.kept_bytes))
    {
        this->document_bytes -= this->revisions.front().document.size();
        this->revisions.pop_front();
    }
}

revision catalog::current_revision() const
{
    return this->latest;
}

stored_revision const* catalog::current() const
{
    return this->revisions.empty() ? nullptr : &this->revisions.back();
}

stored_revision const* catalog::find(revision wanted) const
{
    if (this->revisions.empty() || wanted > this->latest ||
        wanted < this->revisions.front().number)
    {
        return nullptr;
    }
    return &this->revisions.at(wanted - this->revisions.front().number);
}

std::deque<audit_entry> const& catalog::audit_trail() const
{
    return this->trail;
}

} // namespace bilberrylead::catalog
