#include "bilberrylead/policy/fair_queue.hpp"

#include <algorithm>
#include <cassert>

namespace bilberrylead::policy
{

fair_queue::fair_queue(fair_queue_settings const& settings)
    : capacity(settings.capacity), by_flow(settings.by_flow),
      rows(settings.rows)
{
    assert(settings.capacity > 0 && settings.rows > 0);
    this->heap.reserve(settings.capacity);
}

bool fair_queue::later(entry const& left, entry const& right)
{
    if (left.turn != right.turn)
    {
        return left.turn > right.turn;
    }
    return left.order > right.order;
}

fair_queue::row& fair_queue::row_of(std::uint32_t flow)
{
    return this->rows[flow % this->rows.size()];
}

fair_queue::row const& fair_queue::row_of(std::uint32_t flow) const
{
    return this->rows[flow % this->rows.size()];
}

instant fair_queue::next_turn(std::uint32_t flow, instant now,
                              duration turn_time) const
{
    // A flow that was away does not save up turns, or it could hold up
    // everybody when it comes back.
    row const& own = this->row_of(flow);
    if (!this->by_flow || own.waiting == 0)
    {
        return now;
    }
    return std::max(now, own.last_turn + turn_time * this->busy_rows);
}

bool fair_queue::push(waiting_request const& request, duration turn_time)
{
    if (this->heap.size() == this->capacity)
    {
        return false;
    }
    row& own = this->row_of(request.flow);
    own.last_turn = this->next_turn(request.flow, request.arrived, turn_time);
    if (own.waiting++ == 0)
    {
        ++this->busy_rows;
    }
    this->heap.push_back({own.last_turn, this->orders++, request});
    std::push_heap(this->heap.begin(), this->heap.end(), later);
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
    std::pop_heap(this->heap.begin(), this->heap.end(), later);
    return this->take(this->heap.size() - 1);
}

waiting_request fair_queue::take(std::size_t index)
{
    waiting_request const request = this->heap[index].request;
    bool const last = index + 1 == this->heap.size();
    this->heap[index] = this->heap.back();
    this->heap.pop_back();
    if (!last)
    {
        std::make_heap(this->heap.begin(), this->heap.end(), later);
    }
    if (--this->row_of(request.flow).waiting == 0)
    {
        --this->busy_rows;
    }
    return request;
}

bool fair_queue::remove(std::uint64_t ticket)
{
    for (std::size_t index = 0; index < this->heap.size(); ++index)
    {
        if (this->heap[index].request.ticket == ticket)
        {
            this->take(index);
            return true;
        }
    }
    return false;
}

std::optional<waiting_request> fair_queue::pop_late(instant limit)
{
    for (std::size_t index = 0; index < this->heap.size(); ++index)
    {
        if (this->heap[index].request.deadline < limit)
        {
            return this->take(index);
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
            later(this->heap[index], this->heap[last]))
        {
            last = index;
        }
    }
    if (last == this->heap.size())
    {
        return std::nullopt;
    }
    return this->take(last);
}

std::uint32_t fair_queue::size_of(std::uint32_t flow) const
{
    return this->row_of(flow).waiting;
}

std::size_t fair_queue::ahead_of(std::uint32_t flow, instant now,
                                 duration turn_time) const
{
    instant const turn = this->next_turn(flow, now, turn_time);
    return static_cast<std::size_t>(std::count_if(this->heap.begin(),
                                                  this->heap.end(),
                                                  [turn](entry const& other)
                                                  {
                                                      return other.turn <= turn;
                                                  }));
}

} // namespace bilberrylead::policy
