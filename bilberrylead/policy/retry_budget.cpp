#include "bilberrylead/policy/retry_budget.hpp"

#include <algorithm>
#include <cassert>
#include <cstdint>

namespace bilberrylead::policy
{

void retry_budget::succeeded()
{
    this->saved = std::min(this->settings.most_saved,
                           this->saved + this->settings.earned_by_success);
}

std::optional<duration> retry_budget::ask(retry_question const& question,
                                          instant now, generator& random)
{
    assert(question.attempts >= 1);
    // A request that may not be repeated runs again only if nothing of it
    // ran: anything else could post a royalty twice.
    if (!question.idempotent && !question.surely_not_run)
    {
        return std::nullopt;
    }
    if (question.attempts >= this->settings.most_attempts || this->saved < 1)
    {
        return std::nullopt;
    }

    // Full jitter: the requests that one dead upstream failed together do
    // not come back together.
    duration const longest =
        this->settings.first_pause * (std::int64_t{1} << question.attempts);
    duration const pause(static_cast<std::int64_t>(
        random.unit() * static_cast<double>(longest.count())));
    if (now + pause + question.needed > question.deadline)
    {
        return std::nullopt;
    }
    this->saved -= 1;
    return pause;
}

} // namespace bilberrylead::policy
