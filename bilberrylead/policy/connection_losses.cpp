#include "bilberrylead/policy/connection_losses.hpp"

#include <chrono>
#include <utility>

namespace bilberrylead::policy
{

namespace
{

/// Time within which the listing drops an upstream that ended.
constexpr duration confirmation_timeout = std::chrono::seconds(10);

} // namespace

connection_loss_action
connection_losses::record_loss(upstream_id const& upstream,
                               std::uint64_t digest, instant now)
{
    auto const [position, is_new] =
        this->losses.try_emplace(upstream, loss{now, false, {}});
    if (position->second.ended)
    {
        return connection_loss_action::upstream_ended;
    }
    position->second.digests.insert(digest);
    return is_new ? connection_loss_action::probe
                  : connection_loss_action::wait;
}

std::vector<std::uint64_t>
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
    std::set<std::uint64_t> const digests = std::exchange(entry.digests, {});
    return {digests.begin(), digests.end()};
}

void connection_losses::record_responsive(upstream_id const& upstream)
{
    this->losses.erase(upstream);
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
