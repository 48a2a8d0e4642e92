#include "bilberrylead/agreement/effect_collector.hpp"

#include <iterator>
#include <utility>

namespace bilberrylead::agreement
{

namespace
{

void move_to_end(std::vector<effect>& all, std::vector<effect>& some)
{
    all.insert(all.end(), std::make_move_iterator(some.begin()),
               std::make_move_iterator(some.end()));
    some.clear();
}

} // namespace

void effect_collector::write(effect next)
{
    if (std::holds_alternative<persist_hard_state>(next))
    {
        this->hard_state_written = true;
    }
    if (!this->merge_entries(next))
    {
        this->writes.push_back(std::move(next));
    }
}

bool effect_collector::merge_entries(effect& next)
{
    append_entries* const added = std::get_if<append_entries>(&next);
    if (added == nullptr || this->writes.empty())
    {
        return false;
    }
    append_entries* const before =
        std::get_if<append_entries>(&this->writes.back());
    if (before == nullptr ||
        before->from_index + before->entries.size() != added->from_index)
    {
        return false;
    }
    before->entries.insert(before->entries.end(),
                           std::make_move_iterator(added->entries.begin()),
                           std::make_move_iterator(added->entries.end()));
    return true;
}

void effect_collector::send_before_sync(send next)
{
    this->before_sync.emplace_back(std::move(next));
}

void effect_collector::add(effect next)
{
    this->after_sync.push_back(std::move(next));
}

void effect_collector::add_before_writes(effect next)
{
    this->before_writes.push_back(std::move(next));
}

std::vector<effect> effect_collector::take_all()
{
    std::vector<effect> all;
    all.swap(this->before_writes);
    bool const has_writes = !this->writes.empty();
    move_to_end(all, this->writes);

    // The first append of a new leader carries a term that is not durable yet.
    if (!this->hard_state_written)
    {
        move_to_end(all, this->before_sync);
    }
    if (has_writes)
    {
        all.emplace_back(sync{});
    }
    move_to_end(all, this->before_sync);
    move_to_end(all, this->after_sync);
    this->hard_state_written = false;
    return all;
}

} // namespace bilberrylead::agreement
