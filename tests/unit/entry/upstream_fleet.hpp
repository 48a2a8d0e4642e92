#ifndef BILBERRYLEAD_TESTS_UNIT_ENTRY_UPSTREAM_FLEET_HPP
#define BILBERRYLEAD_TESTS_UNIT_ENTRY_UPSTREAM_FLEET_HPP

#include "bilberrylead/presence/report_links.hpp"
#include "tests/unit/entry/entry_fleet.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace bilberrylead::entry
{

/// Settings of an `upstream_fleet`.
struct upstream_fleet_settings
{
    std::size_t hosts = 10;
    std::size_t upstreams = 18;
    /// Time after which an upstream that ended is back.
    duration restart = 3s;
    /// True if it is back under its id.
    bool keeps_ids = false;
    /// How long an upstream that ended still accepts connections.
    duration listener_lag{};
    /// Delay of changes in the upstream list.
    duration listing_lag = 1s;
    /// Delay of messages between entry hosts.
    duration peer_delay = 50ms;
    /// Upstreams that a request may be sent to.
    std::uint32_t attempts = 2;
    /// Run time of a request.
    duration run = 100ms;
    /// Requests per second that upstream 0 sets as its limit; empty for none.
    std::optional<double> limit = std::nullopt;
    /// Control hosts that pass reports about limits on; 0 if these are sent to
    /// the other hosts directly.
    std::size_t control_hosts = 0;
    /// Rest that upstream 0 asks for while it refuses requests; empty for none.
    std::optional<duration> rest = std::nullopt;
};

/// Entry hosts, and upstreams that run requests, end during some of them and
/// restart. Time advances only in `run_for`.
class upstream_fleet
{
public:
    explicit upstream_fleet(upstream_fleet_settings const& given)
        : settings(given), processes(given.hosts), incarnations(given.hosts)
    {
        for (std::size_t slot = 0; slot < given.upstreams; ++slot)
        {
            this->upstream_slots.push_back({0, true});
        }
        this->content = make_one_route({{service_id("read"), 1}});
        config::request_route& route = this->content->request_routes.front();
        route.idempotent = true;
        route.most_attempts = given.attempts;
        route.timeout = 2s;
        for (std::size_t host = 0; host < given.hosts; ++host)
        {
            this->start_host(host);
        }
    }

    /// Starts or restarts an entry host, without any state of its previous
    /// incarnation.
    void start_host(std::size_t host)
    {
        entry_settings host_settings;
        host_settings.self = name_of_host(host);
        host_settings.zone = zone_id("z1");
        host_settings.region = region_id("r1");
        host_settings.places = {{zone_id("z1"), region_id("r1"), {}}};
        host_settings.upstreams_are_listed = true;
        host_settings.waiting = config::waiting_place::upstream;
        host_settings.retries.slack = 1000;
        ++this->incarnations[host];
        this->processes[host] = std::make_unique<entry_reducer>(
            host_settings,
            process_seed(host_settings.self, this->incarnations[host]));
        this->deliver(host, configuration_received{1, this->content});
        this->deliver(host, upstreams_listed{this->listing()});
        this->deliver(host, entry_hosts_counted{this->processes.size(),
                                                this->processes.size()});
        // The other hosts send their records as soon as they are connected.
        for (std::size_t other = 0; other < this->processes.size(); ++other)
        {
            if (other != host && this->processes[other] != nullptr)
            {
                this->send_all_records(other, host);
            }
        }
    }

    /// Passes a new request to an entry host. A request with the digest
    /// `crashing_digest` ends every upstream that runs it.
    void arrive(std::size_t host, std::uint64_t digest)
    {
        request_arrived arrival = make_arrival(++this->last_request);
        arrival.digest = digest;
        this->digests[arrival.request] = digest;
        ++this->arrived[digest];
        this->deliver(host, arrival);
    }

    /// Ends an upstream and all of its running requests.
    void end_upstream(std::size_t slot)
    {
        upstream_slot& ended = this->upstream_slots[slot];
        if (!ended.is_running)
        {
            return;
        }
        ended.is_running = false;
        ended.ended_at = this->now;
        ended.connected_at.clear();
        ++this->ended_count;
        std::map<request_number, run> const lost =
            std::exchange(ended.running, {});
        for (auto const& [number, each] : lost)
        {
            this->deliver_later(
                1ms, each.host, each.incarnation,
                upstream_failed{number, exchange_phase::maybe_sent,
                                exchange_fault::connection_lost});
        }
        this->schedule(this->settings.restart,
                       [this, slot]
                       {
                           ++this->upstream_slots[slot].incarnation;
                           this->upstream_slots[slot].is_running = true;
                           if (slot == 0)
                           {
                               this->forget_signals();
                           }
                           this->publish_listing_later();
                       });
    }

    /// Resets every connection to an upstream, which keeps running.
    void reset_upstream(std::size_t slot)
    {
        this->upstream_slots[slot].connected_at.clear();
        std::map<request_number, run> const lost =
            std::exchange(this->upstream_slots[slot].running, {});
        for (auto const& [number, each] : lost)
        {
            this->deliver_later(
                1ms, each.host, each.incarnation,
                upstream_failed{number, exchange_phase::maybe_sent,
                                exchange_fault::connection_lost});
        }
    }

    /// Advances the time.
    void run_for(duration time)
    {
        instant const end = this->now + time;
        while (this->now < end)
        {
            this->now += 10ms;
            while (!this->pending.empty() &&
                   this->pending.begin()->first <= this->now)
            {
                auto const next = this->pending.extract(this->pending.begin());
                next.mapped()();
            }
            for (std::size_t host = 0; host < this->processes.size(); ++host)
            {
                this->deliver(host, tick{});
            }
        }
    }

    /// Partitions a host from the others, or reconnects it.
    void set_partitioned(std::size_t host, bool is_partitioned)
    {
        if (is_partitioned)
        {
            this->partitioned.insert(host);
            return;
        }
        this->partitioned.erase(host);
        for (std::size_t other = 0; other < this->processes.size(); ++other)
        {
            if (other != host)
            {
                this->send_all_records(other, host);
                this->send_all_records(host, other);
            }
        }
    }

    /// Number of times that an upstream has ended.
    std::size_t ended_upstreams() const
    {
        return this->ended_count;
    }

    /// Runs of a request, counted from `since`.
    std::size_t runs_of(std::uint64_t digest, instant since = {}) const
    {
        std::size_t count = 0;
        for (auto const& [sent, run_digest] : this->sendings)
        {
            count += run_digest == digest && sent >= since ? 1U : 0U;
        }
        return count;
    }

    /// Time at which upstream 0 first set its limit.
    std::optional<instant> limit_first_named_at() const
    {
        return this->limit_named_at;
    }

    /// Changes the limit that upstream 0 sets.
    void set_limit(std::optional<double> limit)
    {
        this->settings.limit = limit;
    }

    /// Lets upstream 0 refuse every request, or run them again.
    void set_refusing(bool refuses)
    {
        this->is_refusing = refuses;
    }

    /// Lets upstream 0 announce in every answer that it is leaving.
    void set_leaving()
    {
        this->is_leaving = true;
    }

    /// Sends every host a listing of all upstreams again.
    void publish_listing()
    {
        this->publish_listing_later();
    }

    /// Sends every host a listing without upstream 0.
    void publish_listing_without_first()
    {
        auto without = std::make_shared<listed_upstreams>(*this->listing());
        without->erase(without->begin());
        for (std::size_t host = 0; host < this->processes.size(); ++host)
        {
            this->deliver(host, upstreams_listed{without});
        }
    }

    /// Requests that reached upstream 0 from a host later than `grace` after
    /// it asked this host for a rest, and before the end of that rest.
    std::size_t sent_during_rest(duration grace) const
    {
        return this->count_unwanted(this->rests, grace);
    }

    /// Requests that reached upstream 0 from a host later than `grace` after
    /// it told this host that it is leaving.
    std::size_t sent_after_leaving(duration grace) const
    {
        return this->count_unwanted(this->leavings, grace);
    }

    /// Largest number of requests of one host that upstream 0 ran at the same
    /// time since `since`.
    std::size_t max_running_of_one_host(instant since) const
    {
        std::size_t largest = 0;
        for (auto const& [at, running] : this->running_of_one_host)
        {
            largest = std::max(largest, at >= since ? running : 0);
        }
        return largest;
    }

    /// Retry times of refused callers, in order.
    std::vector<duration> const& retry_times() const
    {
        return this->retry_after;
    }

    /// Requests that reached upstream 0 since `since`.
    std::size_t limited_since(instant since) const
    {
        return static_cast<std::size_t>(std::count_if(
            this->limited_sendings.begin(), this->limited_sendings.end(),
            [since](instant sent)
            {
                return sent >= since;
            }));
    }

    /// Loses all reports that pass a control host, or passes them on again.
    void set_silent(std::size_t control_index, bool is_silent)
    {
        if (is_silent)
        {
            this->silent_control_hosts.insert(control_host(control_index));
            return;
        }
        this->silent_control_hosts.erase(control_host(control_index));
    }

    /// Changes the delay of messages between entry hosts.
    void set_peer_delay(duration delay)
    {
        this->settings.peer_delay = delay;
    }

    /// Divides the hosts into sides that receive nothing from each other; 1 for
    /// none. Hosts are not told.
    void set_sides(std::size_t count)
    {
        this->sides = count;
    }

    /// Tells the hosts of a side whether they are in contact with the others.
    void set_contact_of_side(std::size_t side, bool is_in_contact)
    {
        for (std::size_t host = side; host < this->processes.size();
             host += this->sides)
        {
            this->deliver(host, peer_contact_changed{is_in_contact});
        }
    }

    /// Loses all reports between the hosts, which are not told, or passes them
    /// on again.
    void set_losing_reports(bool is_losing)
    {
        this->all_partitioned = is_losing;
    }

    /// Cuts all hosts off from each other and tells them so, or ends this.
    void set_contact(bool is_in_contact)
    {
        this->all_partitioned = !is_in_contact;
        for (std::size_t host = 0; host < this->processes.size(); ++host)
        {
            this->deliver(host, peer_contact_changed{is_in_contact});
        }
    }

    /// Largest number of requests that reached upstream 0 in any span of that
    /// length from `from` on.
    std::size_t max_limited_within(duration span, instant from) const
    {
        std::size_t max_count = 0;
        for (instant const& begin : this->limited_sendings)
        {
            if (begin >= from)
            {
                std::size_t const within = this->limited_since(begin) -
                                           this->limited_since(begin + span);
                max_count = std::max(max_count, within);
            }
        }
        return max_count;
    }

    /// Time of the third end of an upstream under the crashing request.
    instant third_crash() const
    {
        return this->crashes.size() < 3 ? instant::max() : this->crashes[2];
    }

    /// Number of requests with that digest that an upstream answered.
    std::size_t answered(std::uint64_t digest)
    {
        return this->answers[digest];
    }

    /// Number of requests with that digest that arrived.
    std::size_t arrivals(std::uint64_t digest)
    {
        return this->arrived[digest];
    }

    /// Number of requests with that digest that were refused because upstreams
    /// ended while they ran it.
    std::size_t refused_for_crashes(std::uint64_t digest)
    {
        return this->refusals[digest];
    }

    std::size_t hosts() const
    {
        return this->processes.size();
    }

    static constexpr std::uint64_t crashing_digest = 0xc0ffee;

    instant now = instant{} + 1h;

private:
    struct run
    {
        std::size_t host = 0;
        std::uint64_t incarnation = 0;
    };

    struct upstream_slot
    {
        std::uint64_t incarnation = 0;
        bool is_running = true;
        instant ended_at{};
        std::map<request_number, run> running = {};
        // When each host opened its connection.
        std::map<std::size_t, instant> connected_at = {};
    };

    std::string name_of(std::size_t slot, std::uint64_t incarnation) const
    {
        return fmt::format("u{}-{}", slot,
                           this->settings.keeps_ids ? 0 : incarnation);
    }

    std::shared_ptr<listed_upstreams const> listing() const
    {
        auto all = std::make_shared<listed_upstreams>();
        for (std::size_t slot = 0; slot < this->upstream_slots.size(); ++slot)
        {
            all->push_back(make_listed(
                "read", name_of(slot, this->upstream_slots[slot].incarnation),
                3));
            all->back().upstream.address.port =
                static_cast<std::uint16_t>(slot + 1);
            all->back().incarnation = {
                1, this->upstream_slots[slot].incarnation + 1};
        }
        return all;
    }

    /// Upstream 0 knows nothing of what its last incarnation said.
    void forget_signals()
    {
        this->is_leaving = false;
        for (auto* const said : {&this->rests, &this->leavings})
        {
            for (auto& [host, spans] : *said)
            {
                for (auto& [begin, end] : spans)
                {
                    end = std::min(end, this->now);
                }
            }
        }
    }

    void publish_listing_later()
    {
        std::shared_ptr<listed_upstreams const> const all = this->listing();
        for (std::size_t host = 0; host < this->processes.size(); ++host)
        {
            this->schedule(this->settings.listing_lag,
                           [this, host, all]
                           {
                               this->deliver(host, upstreams_listed{all});
                           });
        }
    }

    void schedule(duration wait, std::function<void()> action)
    {
        this->pending.emplace(this->now + wait, std::move(action));
    }

    void deliver_later(duration wait, std::size_t host,
                       std::uint64_t incarnation, event event)
    {
        this->schedule(wait,
                       [this, host, incarnation, event = std::move(event)]
                       {
                           if (this->incarnations[host] == incarnation)
                           {
                               this->deliver(host, event);
                           }
                       });
    }

    void deliver(std::size_t host, event const& event)
    {
        for (effect const& each :
             this->processes[host]->reduce(event, this->now))
        {
            std::visit(
                [this, host](auto const& effect)
                {
                    this->carry_out(host, effect);
                },
                each);
        }
    }

    bool are_partitioned(std::size_t one, std::size_t other) const
    {
        return this->all_partitioned ||
               one % this->sides != other % this->sides ||
               this->partitioned.contains(one) !=
                   this->partitioned.contains(other);
    }

    /// Sends all crash records of one host to another.
    void send_all_records(std::size_t from, std::size_t to)
    {
        this->send_records(from, to,
                           this->processes[from]->crash_records().records());
    }

    void send_records(std::size_t from, std::size_t to,
                      std::vector<policy::crash_record> const& records)
    {
        if (records.empty() || this->are_partitioned(from, to))
        {
            return;
        }
        this->deliver_later(this->settings.peer_delay, to,
                            this->incarnations[to],
                            crash_records_received{from, records});
    }

    template <class Other>
    void carry_out(std::size_t, Other const&)
    {
    }

    void carry_out(std::size_t host, start_upstream const& order)
    {
        std::size_t const slot = order.address.port - 1U;
        upstream_slot& upstream = this->upstream_slots[slot];
        std::uint64_t const digest = this->digests[order.request];
        std::uint64_t const incarnation = this->incarnations[host];
        bool const is_same =
            order.upstream.text() == name_of(slot, upstream.incarnation);
        if (!upstream.is_running)
        {
            this->deliver_later(
                1ms, host, incarnation,
                upstream_failed{order.request, exchange_phase::not_sent,
                                exchange_fault::connect_failed});
            return;
        }
        if (upstream.connected_at.try_emplace(host, this->now).second)
        {
            this->deliver_later(1ms, host, incarnation,
                                upstream_connected{order.upstream});
        }
        if (!is_same)
        {
            upstream_signals_received signals;
            signals.request = order.request;
            signals.service = order.service;
            signals.upstream = order.upstream;
            signals.misdirected = true;
            upstream_head_received head;
            head.request = order.request;
            head.status = 421;
            head.misdirected = true;
            head.not_run = true;
            this->deliver_later(1ms, host, incarnation, signals);
            this->deliver_later(1ms, host, incarnation, head);
            return;
        }
        this->sendings.emplace_back(this->now, digest);
        if (slot == 0)
        {
            this->limited_sendings.push_back(this->now);
            this->sendings_of[host].push_back(this->now);
        }
        if (slot == 0 && this->is_refusing)
        {
            this->refuse(host, order);
            return;
        }
        upstream.running[order.request] = {host, incarnation};
        this->running_of_one_host.emplace_back(
            this->now, static_cast<std::size_t>(std::count_if(
                           upstream.running.begin(), upstream.running.end(),
                           [host](auto const& each)
                           {
                               return each.second.host == host;
                           })));
        this->schedule(this->settings.run,
                       [this, slot, order, digest]
                       {
                           this->end_run(slot, order, digest);
                       });
    }

    void carry_out(std::size_t host, probe_upstream const& wanted)
    {
        upstream_slot const& slot =
            this->upstream_slots[wanted.address.port - 1U];
        bool const is_accepted =
            slot.is_running ||
            this->now < slot.ended_at + this->settings.listener_lag;
        this->deliver_later(
            1ms, host, this->incarnations[host],
            upstream_probed{wanted.upstream, is_accepted
                                                 ? probe_outcome::accepted
                                                 : probe_outcome::refused});
    }

    void carry_out(std::size_t host, send_crash_records const& wanted)
    {
        for (std::size_t other = 0; other < this->processes.size(); ++other)
        {
            if (other != host &&
                (!wanted.only_to.has_value() || other == *wanted.only_to))
            {
                this->send_records(host, other, wanted.records);
            }
        }
    }

    void carry_out(std::size_t host, send_limits const& wanted)
    {
        for (std::size_t path = 0; path < this->count_open_paths(host); ++path)
        {
            this->send_limits_to_others(host, wanted);
        }
    }

    /// Number of ways on which the reports of a host reach the other hosts.
    std::size_t count_open_paths(std::size_t host) const
    {
        if (this->settings.control_hosts == 0)
        {
            return 1;
        }
        std::vector<link::group_host> linked;
        linked.reserve(this->settings.control_hosts);
        for (std::size_t index = 0; index < this->settings.control_hosts;
             ++index)
        {
            linked.push_back({control_host(index),
                              zone_id(fmt::format("z{}", index)),
                              region_id(fmt::format("r{}", index % 3))});
        }
        std::size_t paths = 0;
        for (host_id const& each : presence::choose_report_links(
                 linked,
                 {name_of_host(host), zone_id(fmt::format("z{}", host % 9)),
                  region_id(fmt::format("r{}", host % 3))}))
        {
            paths += this->silent_control_hosts.contains(each) ? 0U : 1U;
        }
        return paths;
    }

    void send_limits_to_others(std::size_t host, send_limits const& wanted)
    {
        for (std::size_t other = 0; other < this->processes.size(); ++other)
        {
            if (other != host && !this->are_partitioned(host, other))
            {
                this->deliver_later(
                    this->settings.peer_delay, other, this->incarnations[other],
                    limits_received{name_of_host(host), wanted.reports});
            }
        }
    }

    static host_id name_of_host(std::size_t host)
    {
        return host_id(fmt::format("edge-{}", host));
    }

    static host_id control_host(std::size_t index)
    {
        return host_id(fmt::format("core-{}", index));
    }

    void carry_out(std::size_t, answer_not_run const& answer)
    {
        this->retry_after.push_back(answer.retry_after);
    }

    /// Upstream 0 refuses a request.
    void refuse(std::size_t host, start_upstream const& order)
    {
        std::uint64_t const incarnation = this->incarnations[host];
        upstream_signals_received signals = this->make_signals(0, host, order);
        signals.rest = this->settings.rest;
        if (signals.rest.has_value())
        {
            this->rests[host].emplace_back(this->now,
                                           this->now + *signals.rest);
        }
        upstream_head_received head;
        head.request = order.request;
        head.status = 503;
        head.not_run = true;
        this->deliver_later(1ms, host, incarnation, signals);
        this->deliver_later(1ms, host, incarnation, head);
    }

    upstream_signals_received make_signals(std::size_t slot, std::size_t host,
                                           start_upstream const& order)
    {
        upstream_signals_received signals;
        signals.request = order.request;
        signals.service = order.service;
        signals.upstream = order.upstream;
        signals.incarnation = order.incarnation;
        signals.connected_at = this->upstream_slots[slot].connected_at[host];
        if (slot == 0)
        {
            signals.limit = this->settings.limit;
            signals.leaving = this->is_leaving;
        }
        if (signals.limit.has_value() && !this->limit_named_at.has_value())
        {
            this->limit_named_at = this->now;
        }
        if (signals.leaving)
        {
            this->leavings[host].emplace_back(this->now, instant::max());
        }
        return signals;
    }

    std::size_t count_unwanted(
        std::map<std::size_t, std::vector<std::pair<instant, instant>>> const&
            spans,
        duration grace) const
    {
        std::size_t count = 0;
        for (auto const& [host, times] : this->sendings_of)
        {
            auto const found = spans.find(host);
            if (found == spans.end())
            {
                continue;
            }
            for (instant const sent : times)
            {
                count += static_cast<std::size_t>(std::any_of(
                    found->second.begin(), found->second.end(),
                    [sent, grace](auto const& span)
                    {
                        return sent > span.first + grace && sent < span.second;
                    }));
            }
        }
        return count;
    }

    void carry_out(std::size_t, request_ended const& end)
    {
        if (end.reason == refusal_reason::crashes_upstreams)
        {
            ++this->refusals[end.digest];
        }
    }

    void end_run(std::size_t slot, start_upstream const& order,
                 std::uint64_t digest)
    {
        request_number const number = order.request;
        upstream_slot& upstream = this->upstream_slots[slot];
        auto const running = upstream.running.find(number);
        if (running == upstream.running.end())
        {
            return;
        }
        if (digest == crashing_digest)
        {
            this->crashes.push_back(this->now);
            this->end_upstream(slot);
            return;
        }
        run const done = running->second;
        upstream.running.erase(running);
        ++this->answers[digest];
        if (this->incarnations[done.host] == done.incarnation)
        {
            upstream_head_received head;
            head.request = number;
            head.status = 200;
            this->deliver(done.host,
                          this->make_signals(slot, done.host, order));
            this->deliver(done.host, head);
            this->deliver(done.host, upstream_answer_finished{number, {}});
        }
    }

    upstream_fleet_settings settings;
    std::shared_ptr<config::configuration> content;
    std::vector<std::unique_ptr<entry_reducer>> processes;
    std::vector<std::uint64_t> incarnations;
    std::vector<upstream_slot> upstream_slots;
    std::multimap<instant, std::function<void()>> pending;
    std::map<request_number, std::uint64_t> digests;
    std::map<std::uint64_t, std::size_t> arrived;
    std::map<std::uint64_t, std::size_t> answers;
    std::vector<std::pair<instant, std::uint64_t>> sendings;
    std::vector<instant> crashes;
    std::vector<instant> limited_sendings;
    // Requests that reached upstream 0, by host.
    std::map<std::size_t, std::vector<instant>> sendings_of;
    // Spans in which upstream 0 wants no requests of a host.
    std::map<std::size_t, std::vector<std::pair<instant, instant>>> rests;
    std::map<std::size_t, std::vector<std::pair<instant, instant>>> leavings;
    std::vector<std::pair<instant, std::size_t>> running_of_one_host;
    std::vector<duration> retry_after;
    bool is_refusing = false;
    bool is_leaving = false;
    std::optional<instant> limit_named_at;
    std::size_t ended_count = 0;
    std::set<std::size_t> partitioned;
    bool all_partitioned = false;
    std::size_t sides = 1;
    std::set<host_id> silent_control_hosts;
    std::map<std::uint64_t, std::size_t> refusals;
    std::uint64_t last_request = 0;
};

} // namespace bilberrylead::entry

#endif
