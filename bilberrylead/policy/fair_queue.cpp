#include "bilberrylead/policy/fair_queue.hpp"

#include <algorithm>
#include <cassert>

namespace bilberrylead::policy
{

fair_queue::fair_queue(fair_queue_settings const& settings)
    : capacity(settings.capacity), rows(settings.by_flow ? settings.rows : 1)
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

std::uint64_t fair_queue::next_turn(std::uint32_t flow) const
{
    // A flow that was away does not save up turns: it starts at the turn
    // being served, or it could hold up everybody when it comes back.
    row const& own = this->row_of(flow);
    return std::max(this->turn_served,
                    own.waiting > 0 ? own.last_turn + 1 : own.last_turn);
}

bool fair_queue::push(waiting_request const& request)
{
    if (this->heap.size() == this->capacity)
    {
        return false;
    }
    row& own = this->row_of(request.flow);
    own.last_turn = this->next_turn(request.flow);
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
    this->turn_served = std::max(this->turn_served, this->heap.back().turn);
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

std::uint32_t fair_queue::size_of(std::uint32_t flow) const
{
    return this->row_of(flow).waiting;
}

std::size_t fair_queue::ahead_of(std::uint32_t flow) const
{
    std::uint64_t const turn = this->next_turn(flow);
    return static_cast<std::size_t>(std::count_if(this->heap.begin(),
                                                  this->heap.end(),
                                                  [turn](entry const& other)
                                                  {
                                                      return other.turn <= turn;
                                                  }));
}

std::optional<instant> fair_queue::oldest() const
{
    std::optional<instant> earliest;
    for (entry const& waiting : this->heap)
    {
        if (!earliest.has_value() || waiting.request.arrived < *earliest)
        {
            earliest = waiting.request.arrived;
        }
    }
    return earliest;
}

} // namespace bilberrylead::policy
