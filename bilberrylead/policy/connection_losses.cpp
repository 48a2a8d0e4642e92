#include "bilberrylead/policy/connection_losses.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace bilberrylead::policy
{

namespace
{

/// Pause before the second probe; each further pause is twice as long.
constexpr duration first_probe_pause = std::chrono::milliseconds(50);
/// Accepted connections from which on an upstream is taken as responsive.
constexpr unsigned max_probes = 5;
/// Time within which the listing drops an upstream that ended.
constexpr duration confirmation_timeout = std::chrono::seconds(10);

} // namespace

connection_loss_action
connection_losses::record_loss(upstream_id const& upstream,
                               lost_request const& request, instant now)
{
    auto const earlier = this->losses.find(upstream);
    if (earlier != this->losses.end() && earlier->second.ended)
    {
        if (request.sent <= earlier->second.updated_at)
        {
            return connection_loss_action::upstream_ended;
        }
        this->losses.erase(earlier);
    }
    auto const [position, is_new] = this->losses.try_emplace(upstream);
    if (is_new)
    {
        position->second.lost_at = now;
        position->second.updated_at = now;
    }
    instant& sent = position->second.requests[request.digest];
    sent = std::max(sent, request.sent);
    return is_new ? connection_loss_action::probe
                  : connection_loss_action::wait;
}

std::vector<lost_request>
connection_losses::record_ended(upstream_id const& upstream, instant now)
{
    auto const position = this->losses.find(upstream);
    if (position == this->losses.end() || position->second.ended)
    {
        return {};
    }
    loss& entry = position->second;
    entry.updated_at = now;
    entry.ended = true;
    std::vector<lost_request> requests;
    requests.reserve(entry.requests.size());
    for (auto const& [digest, sent] : std::exchange(entry.requests, {}))
    {
        requests.push_back({digest, sent});
    }
    return requests;
}

std::optional<instant>
connection_losses::lost_at(upstream_id const& upstream) const
{
    auto const position = this->losses.find(upstream);
    return position == this->losses.end()
               ? std::nullopt
               : std::optional(position->second.lost_at);
}

bool connection_losses::record_accepted(upstream_id const& upstream,
                                        instant now)
{
    auto const position = this->losses.find(upstream);
    if (position == this->losses.end() || position->second.ended)
    {
        return false;
    }
    loss& entry = position->second;
    ++entry.accepted;
    if (entry.accepted < max_probes)
    {
        entry.next_probe =
            now + first_probe_pause * (1U << (entry.accepted - 1));
        return false;
    }
    this->losses.erase(position);
    return true;
}

bool connection_losses::record_answer(upstream_id const& upstream, instant sent)
{
    auto const position = this->losses.find(upstream);
    if (position == this->losses.end() || position->second.ended ||
        sent <= position->second.updated_at)
    {
        return false;
    }
    this->losses.erase(position);
    return true;
}

std::vector<upstream_id> connection_losses::take_due_probes(instant now)
{
    std::vector<upstream_id> due;
    for (auto& [upstream, entry] : this->losses)
    {
        if (!entry.ended && entry.next_probe <= now)
        {
            entry.next_probe = instant::max();
            due.push_back(upstream);
        }
    }
    return due;
}

std::vector<upstream_id> connection_losses::unresolved() const
{
    std::vector<upstream_id> result;
    for (auto const& [upstream, entry] : this->losses)
    {
        if (!entry.ended)
        {
            result.push_back(upstream);
        }
    }
    return result;
}

std::size_t connection_losses::unresolved_of(std::uint64_t digest) const
{
    return static_cast<std::size_t>(std::count_if(
        this->losses.begin(), this->losses.end(),
        [digest](auto const& item)
        {
            return !item.second.ended && item.second.requests.contains(digest);
        }));
}

void connection_losses::expire(instant now)
{
    std::erase_if(this->losses,
                  [now](auto const& item)
                  {
                      return now - item.second.updated_at >=
                             confirmation_timeout;
                  });
}

} // namespace bilberrylead::policy
