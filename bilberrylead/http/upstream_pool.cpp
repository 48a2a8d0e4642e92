#include "bilberrylead/http/upstream_pool.hpp"

#include "bilberrylead/http/upstream_connection.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace bilberrylead::http
{

upstream_pool::upstream_pool(pool_settings settings, http_counters& counters)
    : chosen(settings), counted(counters)
{
}

upstream_pool::~upstream_pool() = default;

template <class Predicate>
std::size_t upstream_pool::drop(idle_list& list, Predicate unwanted)
{
    std::size_t const dropped = std::erase_if(list, unwanted);
    this->counted.upstream_idle -= dropped;
    return dropped;
}

std::unique_ptr<upstream_connection>
upstream_pool::take(config::endpoint const& upstream, duration longest_idle,
                    instant now)
{
    auto const found = this->idle.find(upstream);
    if (found == this->idle.end())
    {
        return nullptr;
    }
    idle_list& list = found->second;
    while (!list.empty())
    {
        // The one heard last is the least likely to have gone silent.
        if (list.back()->last_heard + longest_idle < now)
        {
            return nullptr;
        }
        std::unique_ptr<upstream_connection> connection =
            std::move(list.back());
        list.pop_back();
        --this->counted.upstream_idle;
        if (!connection->spoiled())
        {
            ++this->counted.upstream_reused;
            return connection;
        }
    }
    return nullptr;
}

void upstream_pool::give_back(std::unique_ptr<upstream_connection> connection,
                              instant now)
{
    connection->last_heard = now;
    connection->reused = true;
    idle_list& list = this->idle[connection->upstream];
    list.push_back(std::move(connection));
    ++this->counted.upstream_idle;
    if (list.size() > this->chosen.largest_idle)
    {
        list.erase(list.begin());
        --this->counted.upstream_idle;
    }
}

void upstream_pool::suspect(config::endpoint const& upstream, instant since)
{
    auto const found = this->idle.find(upstream);
    if (found == this->idle.end())
    {
        return;
    }
    this->counted.upstream_suspects_closed += this->drop(
        found->second,
        [since](std::unique_ptr<upstream_connection> const& connection)
        {
            return connection->last_heard <= since;
        });
}

void upstream_pool::drop_idle(config::endpoint const& upstream)
{
    auto const found = this->idle.find(upstream);
    if (found != this->idle.end())
    {
        this->counted.upstream_idle -= found->second.size();
        this->idle.erase(found);
    }
}

void upstream_pool::sweep(instant now)
{
    for (auto place = this->idle.begin(); place != this->idle.end();)
    {
        this->drop(
            place->second,
            [this, now](std::unique_ptr<upstream_connection> const& connection)
            {
                return connection->last_heard + this->chosen.idle_limit < now ||
                       connection->spoiled();
            });
        place =
            place->second.empty() ? this->idle.erase(place) : std::next(place);
    }
}

} // namespace bilberrylead::http
