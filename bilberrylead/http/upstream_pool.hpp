#ifndef BILBERRYLEAD_HTTP_UPSTREAM_POOL_HPP
#define BILBERRYLEAD_HTTP_UPSTREAM_POOL_HPP

#include "bilberrylead/config/endpoint.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/http/http_counters.hpp"
#include "bilberrylead/http/pool_settings.hpp"

#include <map>
#include <memory>
#include <vector>

namespace bilberrylead::http
{

struct upstream_connection;

/// Keeps connections to upstreams between exchanges. Only a connection whose
/// last request was written and whose answer was read to its end may be given
/// back, so that neither meets another request.
class upstream_pool
{
public:
    /// Makes an empty pool; `counted` must outlive it.
    upstream_pool(pool_settings chosen, http_counters& counted);
    ~upstream_pool();
    upstream_pool(upstream_pool const&) = delete;
    upstream_pool& operator=(upstream_pool const&) = delete;

    /// The kept connection that was heard last, if it was heard within
    /// `longest_idle`; null if there is none.
    std::unique_ptr<upstream_connection>
    take(config::endpoint const& upstream, duration longest_idle, instant now);

    /// Keeps a connection after a whole request and its whole answer.
    void give_back(std::unique_ptr<upstream_connection> connection,
                   instant now);

    /// One connection fell silent in an exchange that began at `since`:
    /// closes those to the same upstream that were not heard since then.
    void suspect(config::endpoint const& upstream, instant since);

    /// Closes all kept connections to an upstream.
    void drop_idle(config::endpoint const& upstream);

    /// Closes what is idle for too long or was closed by the other side.
    void sweep(instant now);

    /// What it was made with.
    pool_settings const& settings() const
    {
        return this->chosen;
    }

    /// Where exchanges count.
    http_counters& counters()
    {
        return this->counted;
    }

private:
    using idle_list = std::vector<std::unique_ptr<upstream_connection>>;

    template <class Predicate>
    std::size_t drop(idle_list& list, Predicate unwanted);

    pool_settings chosen;
    http_counters& counted;
    // Each list in the order of last use, the latest at the end.
    std::map<config::endpoint, idle_list> idle;
};

} // namespace bilberrylead::http

#endif
