#include "bilberrylead/policy/upstream_losses.hpp"

#include <chrono>
#include <utility>

namespace bilberrylead::policy
{

namespace
{

/// A listing has lost an upstream that ended by then.
constexpr duration confirmation_time = std::chrono::seconds(10);

} // namespace

loss_step upstream_losses::note_loss(upstream_id const& upstream,
                                     std::uint64_t digest, instant now)
{
    auto const [found, is_new] =
        this->losses.try_emplace(upstream, loss{now, false, {}});
    if (found->second.ended)
    {
        return loss_step::ended;
    }
    found->second.digests.insert(digest);
    return is_new ? loss_step::probe : loss_step::wait;
}

std::vector<std::uint64_t>
upstream_losses::note_ended(upstream_id const& upstream, instant now)
{
    auto const found = this->losses.find(upstream);
    if (found == this->losses.end() || found->second.ended)
    {
        return {};
    }
    loss& known = found->second;
    known.since = now;
    known.ended = true;
    std::set<std::uint64_t> const digests = std::exchange(known.digests, {});
    return {digests.begin(), digests.end()};
}

void upstream_losses::note_alive(upstream_id const& upstream)
{
    this->losses.erase(upstream);
}

std::vector<upstream_id> upstream_losses::open() const
{
    std::vector<upstream_id> unknown;
    for (auto const& [upstream, known] : this->losses)
    {
        if (!known.ended)
        {
            unknown.push_back(upstream);
        }
    }
    return unknown;
}

void upstream_losses::expire(instant now)
{
    std::erase_if(this->losses,
                  [now](auto const& each)
                  {
                      return now - each.second.since >= confirmation_time;
                  });
}

} // namespace bilberrylead::policy
