#ifndef BILBERRYLEAD_TESTS_CONTROL_CONTROL_GROUP_HPP
#define BILBERRYLEAD_TESTS_CONTROL_CONTROL_GROUP_HPP

#include "bilberrylead/control/control_reducer.hpp"
#include "bilberrylead/core/process_seed.hpp"

#include <criterion/criterion.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace bilberrylead::tests
{

inline host_id control_host(std::size_t index)
{
    return host_id("c" + std::to_string(index + 1));
}

/// Three initial members whose messages are delivered when the test calls
/// deliver(). Links below `entry_link` lead to the other members, the others
/// to entry hosts.
struct control_group
{
    static constexpr std::size_t hosts = 3;
    static constexpr link::link_number entry_link = 100;

    struct envelope
    {
        std::size_t from = 0;
        std::size_t to = 0;
        link::message content;
    };

    /// Makes a group that reads an upstream list if `list` says how. `adjust`
    /// changes the settings and the first event of each host.
    explicit control_group(
        std::optional<discovery::list_reader_settings> const& list =
            std::nullopt,
        std::function<void(control::control_reducer_settings&,
                           control::control_started&)> const& adjust = {})
    {
        agreement::started recovered;
        recovered.initial_membership.emplace();
        std::vector<control::control_started> first_events(hosts);
        for (std::size_t index = 0; index < hosts; ++index)
        {
            recovered.initial_membership->put(
                {control_host(index), 1, true, false});
            control::control_reducer_settings settings;
            settings.self = control_host(index);
            settings.planner.emplace();
            settings.planner->losses = {1, 1, 0};
            settings.list = list;
            if (adjust)
            {
                adjust(settings, first_events[index]);
            }
            this->nodes.at(index) = std::make_unique<control::control_reducer>(
                settings, process_seed(settings.self, 1));
        }
        for (std::size_t index = 0; index < hosts; ++index)
        {
            first_events[index].recovered = recovered;
            this->dispatch(index, {first_events[index]});
            for (std::size_t other = 0; other < hosts; ++other)
            {
                if (other != index)
                {
                    this->connect(index, other, control_host(other),
                                  link::peer_role::control);
                }
            }
        }
    }

    void connect(std::size_t index, link::link_number number,
                 host_id const& peer, link::peer_role role)
    {
        this->dispatch(index,
                       {control::peer_connected{number, {peer, role, 1}}});
    }

    /// Passes events to a host in one call and carries out its effects.
    void dispatch(std::size_t index,
                  std::vector<control::control_event> const& events)
    {
        for (control::control_effect& effect :
             this->nodes.at(index)->reduce(events, this->time))
        {
            if (std::holds_alternative<agreement::sync>(effect))
            {
                ++this->syncs;
            }
            else if (control::answer_operator* const answered =
                         std::get_if<control::answer_operator>(&effect))
            {
                this->answers[answered->number].push_back(answered->reply);
            }
            else if (control::send_to_peer* const sent =
                         std::get_if<control::send_to_peer>(&effect))
            {
                this->encoded_upstreams[index] += upstreams_in(sent->content);
                this->post(index, *sent);
            }
            else if (control::send_to_peers const* const shared =
                         std::get_if<control::send_to_peers>(&effect))
            {
                this->encoded_upstreams[index] += upstreams_in(shared->content);
                for (link::link_number const each : shared->links)
                {
                    control::send_to_peer copy{each, shared->content};
                    this->post(index, copy);
                }
            }
            else if (control::call_upstream_list const* const called =
                         std::get_if<control::call_upstream_list>(&effect))
            {
                this->list_calls.emplace_back(index, called->call);
            }
        }
    }

    static std::size_t upstreams_in(link::message const& content)
    {
        link::upstream_update const* const update =
            std::get_if<link::upstream_update>(&content);
        return update == nullptr ? 0
                                 : update->changes.put.size() +
                                       update->changes.removed.size();
    }

    void post(std::size_t from, control::send_to_peer& sent)
    {
        if (sent.link >= entry_link)
        {
            this->sent_to_entry_hosts[{from, sent.link}].push_back(
                std::move(sent.content));
            return;
        }
        this->in_flight.push_back({from, sent.link, std::move(sent.content)});
    }

    /// Delivers until no message is in flight. Messages from or to an
    /// isolated host are lost, and so are messages to one in not_receiving.
    /// Messages from or to a busy host wait.
    void deliver()
    {
        std::deque<envelope> waiting;
        while (!this->in_flight.empty())
        {
            envelope next = std::move(this->in_flight.front());
            this->in_flight.pop_front();
            if (this->busy.contains(next.from) || this->busy.contains(next.to))
            {
                waiting.push_back(std::move(next));
                continue;
            }
            if (!this->isolated.contains(next.from) &&
                !this->isolated.contains(next.to) &&
                !this->not_receiving.contains(next.to))
            {
                this->dispatch(
                    next.to, {control::peer_message{next.from, next.content}});
            }
        }
        this->in_flight = std::move(waiting);
    }

    /// Advances time by ticks; frozen hosts receive no tick.
    void advance(int ticks)
    {
        for (int tick = 0; tick < ticks; ++tick)
        {
            this->time += agreement::replica_settings{}.tick_interval;
            for (std::size_t index = 0; index < hosts; ++index)
            {
                if (!this->frozen.contains(index))
                {
                    this->dispatch(index, {control::control_tick{}});
                }
            }
            this->deliver();
        }
    }

    /// Advances time until a host that is not isolated leads with a lease.
    std::size_t wait_for_leader()
    {
        for (int tick = 0; tick < 200; ++tick)
        {
            this->advance(1);
            for (std::size_t index = 0; index < hosts; ++index)
            {
                if (!this->isolated.contains(index) &&
                    this->nodes.at(index)->log().holds_lease(this->time))
                {
                    return index;
                }
            }
        }
        cr_assert_fail("no leader within 200 ticks");
        return hosts;
    }

    void request(std::size_t index, std::uint64_t number,
                 control::operator_request const& content)
    {
        this->dispatch(index, {control::operator_request_received{
                                  number, content, wall_time{}}});
    }

    void send_from_entry_host(std::size_t index, link::message const& content)
    {
        this->dispatch(index, {control::peer_message{entry_link, content}});
        this->deliver();
    }

    /// The answer to a request; asserts that there is exactly one.
    control::operator_reply const& answer_to(std::uint64_t number)
    {
        cr_assert_eq(this->answers[number].size(), 1U,
                     "request %zu has %zu answers", std::size_t(number),
                     this->answers[number].size());
        return this->answers[number].front();
    }

    /// The last message that a host sent over its entry link; asserts that it
    /// is of this kind.
    template <class Kind>
    Kind last_sent(std::size_t index)
    {
        std::vector<link::message> const& all =
            this->sent_to_entry_hosts[{index, entry_link}];
        cr_assert_not(all.empty());
        Kind const* const content = std::get_if<Kind>(&all.back());
        cr_assert_not_null(content);
        return *content;
    }

    std::array<std::unique_ptr<control::control_reducer>, hosts> nodes;
    instant time{std::chrono::seconds(1)};
    std::deque<envelope> in_flight;
    std::set<std::size_t> isolated;
    std::set<std::size_t> not_receiving;
    std::set<std::size_t> frozen;
    std::set<std::size_t> busy;
    std::map<std::uint64_t, std::vector<control::operator_reply>> answers;
    std::map<std::pair<std::size_t, link::link_number>,
             std::vector<link::message>>
        sent_to_entry_hosts;
    /// Calls to the upstream list that the test has not handled yet, and the
    /// host that made each.
    std::vector<std::pair<std::size_t, discovery::page_call>> list_calls;
    std::size_t syncs = 0;
    /// Number of upstreams that each host has encoded in listings; a message
    /// to several links is encoded once.
    std::array<std::size_t, hosts> encoded_upstreams{};
};

} // namespace bilberrylead::tests

#endif
