#include "bilberrylead/http/memory_share.hpp"

#include "bilberrylead/http/server_core.hpp"

#include <algorithm>

namespace bilberrylead::http
{

memory_share::~memory_share()
{
    this->core->unreserve(this->held);
    this->core->counters().held_answer_bytes -= this->held_for_answer;
}

bool memory_share::take(std::size_t count)
{
    if (!this->core->reserve(count))
    {
        return false;
    }
    this->held += count;
    return true;
}

bool memory_share::take_ahead(std::size_t count)
{
    return this->core->has_memory_ahead(count) && this->take(count);
}

bool memory_share::take_for_answer(std::size_t count)
{
    if (!this->take_ahead(count))
    {
        return false;
    }
    this->held_for_answer += count;
    http_counters& counters = this->core->counters();
    counters.held_answer_bytes += count;
    counters.held_answer_bytes_peak =
        std::max(counters.held_answer_bytes_peak, counters.held_answer_bytes);
    return true;
}

} // namespace bilberrylead::http
