#ifndef BILBERRYLEAD_LOAD_CALLER_STEERING_HPP
#define BILBERRYLEAD_LOAD_CALLER_STEERING_HPP

#include "bilberrylead/config/endpoint.hpp"
#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/load/steering_answer.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace bilberrylead::load
{

class caller_connections;
class load_tally;

/// Asks for steering and keeps each answer for its time to live, as callers
/// do: one answer for each service and address they send from.
class caller_steering
{
public:
    /// Asks these entry hosts; connections and tally must outlive it.
    caller_steering(caller_connections& by,
                    std::vector<config::endpoint> const& asked,
                    load_tally& counts);

    /// The answer for a service and a source, kept or fresh; the last known
    /// one if nobody answers, null if there never was one. Valid until the
    /// next call.
    boost::asio::awaitable<steering_answer const*>
    hosts_for(service_id const& service, std::string const& source);

    /// Makes the next call ask again: a host of the answer failed.
    void forget(service_id const& service, std::string const& source);

private:
    struct kept_answer
    {
        steering_answer answer;
        instant good_until{};
        bool known = false;
    };

    boost::asio::awaitable<bool> ask(service_id const& service,
                                     std::string const& source,
                                     kept_answer& kept);

    caller_connections* connections;
    std::vector<config::endpoint> const* steering;
    load_tally* tally;
    std::map<std::pair<service_id, std::string>, kept_answer> answers;
    std::size_t next_asked = 0;
};

} // namespace bilberrylead::load

#endif
