#include "bilberrylead/policy/fair_queue.hpp"

#include <algorithm>
#include <cassert>

namespace bilberrylead::policy
{

fair_queue::fair_queue(fair_queue_settings const& settings)
    : capacity(settings.capacity), by_flow(settings.by_flow),
      buckets(settings.buckets)
{
    assert(settings.capacity > 0 && settings.buckets > 0);
    this->heap.reserve(settings.capacity);
}

bool fair_queue::starts_later(entry const& left, entry const& right)
{
    if (left.start_tag != right.start_tag)
    {
        return left.start_tag > right.start_tag;
    }
    return left.order > right.order;
}

fair_queue::bucket& fair_queue::bucket_of(std::uint32_t flow)
{
    return this->buckets[flow % this->buckets.size()];
}

fair_queue::bucket const& fair_queue::bucket_of(std::uint32_t flow) const
{
    return this->buckets[flow % this->buckets.size()];
}

instant fair_queue::next_start_tag(std::uint32_t flow, instant now,
                                   duration slot_interval) const
{
    // An idle flow earns no credit. Otherwise it could delay all other flows
    // when it becomes active again.
    bucket const& own = this->bucket_of(flow);
    if (!this->by_flow || own.waiting == 0)
    {
        return now;
    }
    return std::max(now,
                    own.last_start_tag + slot_interval * this->busy_buckets);
}

bool fair_queue::push(waiting_request const& request, duration slot_interval)
{
    if (this->heap.size() == this->capacity)
    {
        return false;
    }
    bucket& own = this->bucket_of(request.flow);
    own.last_start_tag =
        this->next_start_tag(request.flow, request.arrived, slot_interval);
    if (own.waiting++ == 0)
    {
        ++this->busy_buckets;
    }
    this->heap.push_back({own.last_start_tag, this->next_order++, request});
    std::push_heap(this->heap.begin(), this->heap.end(), starts_later);
    return true;
}

waiting_request const* fair_queue::peek() const
{
    return this->heap.empty() ? nullptr : &this->heap.front().request;
}

std::optional<waiting_request> fair_queue::pop()
{
    if (this->heap.empty())
    {
        return std::nullopt;
    }
    std::pop_heap(this->heap.begin(), this->heap.end(), starts_later);
    return this->remove_at(this->heap.size() - 1);
}

waiting_request fair_queue::remove_at(std::size_t index)
{
    waiting_request const request = this->heap[index].request;
    bool const last = index + 1 == this->heap.size();
    this->heap[index] = this->heap.back();
    this->heap.pop_back();
    if (!last)
    {
        std::make_heap(this->heap.begin(), this->heap.end(), starts_later);
    }
    if (--this->bucket_of(request.flow).waiting == 0)
    {
        --this->busy_buckets;
    }
    return request;
}

bool fair_queue::remove(std::uint64_t ticket)
{
    for (std::size_t index = 0; index < this->heap.size(); ++index)
    {
        if (this->heap[index].request.ticket == ticket)
        {
            this->remove_at(index);
            return true;
        }
    }
    return false;
}

std::optional<waiting_request> fair_queue::pop_expired(instant limit)
{
    for (std::size_t index = 0; index < this->heap.size(); ++index)
    {
        if (this->heap[index].request.deadline < limit)
        {
            return this->remove_at(index);
        }
    }
    return std::nullopt;
}

std::optional<waiting_request> fair_queue::pop_last_movable()
{
    std::size_t last = this->heap.size();
    for (std::size_t index = 0; index < this->heap.size(); ++index)
    {
        if (!this->heap[index].request.may_move)
        {
            continue;
        }
        if (last == this->heap.size() ||
            starts_later(this->heap[index], this->heap[last]))
        {
            last = index;
        }
    }
    if (last == this->heap.size())
    {
        return std::nullopt;
    }
    return this->remove_at(last);
}

std::uint32_t fair_queue::size_of(std::uint32_t flow) const
{
    return this->bucket_of(flow).waiting;
}

std::size_t fair_queue::count_ahead_of(std::uint32_t flow, instant now,
                                       duration slot_interval) const
{
    instant const start_tag = this->next_start_tag(flow, now, slot_interval);
    return static_cast<std::size_t>(
        std::count_if(this->heap.begin(), this->heap.end(),
                      [start_tag](entry const& other)
                      {
                          return other.start_tag <= start_tag;
                      }));
}

} // namespace bilberrylead::policy
