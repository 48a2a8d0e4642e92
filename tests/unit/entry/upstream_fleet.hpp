#ifndef BILBERRYLEAD_TESTS_UNIT_ENTRY_UPSTREAM_FLEET_HPP
#define BILBERRYLEAD_TESTS_UNIT_ENTRY_UPSTREAM_FLEET_HPP

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

/// What a upstream_fleet is made of.
struct upstream_fleet_settings
{
    std::size_t hosts = 10;
    std::size_t upstreams = 18;
    /// An upstream that ended is back, under a new id, after so long.
    duration restart = 3s;
    /// The listing shows changes so much later.
    duration listing_lag = 1s;
    /// What one entry host tells reaches the others so much later.
    duration news_lag = 50ms;
    /// Time that a run takes.
    duration run = 100ms;
    /// Requests a second that upstream 0 names as its limit; nothing: none.
    std::optional<double> limit = std::nullopt;
};

/// Entry hosts and upstreams that run requests, end under some of them and
/// come back. Time passes only within `run_for`.
class upstream_fleet
{
public:
    explicit upstream_fleet(upstream_fleet_settings const& chosen)
        : settings(chosen), processes(chosen.hosts), incarnations(chosen.hosts)
    {
        for (std::size_t slot = 0; slot < chosen.upstreams; ++slot)
        {
            this->places.push_back({0, true});
        }
        this->content = make_one_route({{service_id("read"), 1}});
        config::request_route& route = this->content->request_routes.front();
        route.idempotent = true;
        route.most_attempts = 2;
        route.timeout = 2s;
        for (std::size_t host = 0; host < chosen.hosts; ++host)
        {
            this->start_host(host);
        }
    }

    /// Starts an entry host, anew if it runs. It knows nothing of before.
    void start_host(std::size_t host)
    {
        entry_settings given;
        given.self = host_id(fmt::format("edge-{}", host));
        given.zone = zone_id("z1");
        given.region = region_id("r1");
        given.places = {{zone_id("z1"), region_id("r1"), {}}};
        given.upstreams_are_listed = true;
        given.waiting = config::waiting_place::upstream;
        given.retries.slack = 1000;
        ++this->incarnations[host];
        this->processes[host] = std::make_unique<entry_reducer>(
            given, process_seed(given.self, this->incarnations[host]));
        this->give(host, configuration_received{1, this->content});
        this->give(host, upstreams_listed{this->listing()});
        this->give(host, entry_hosts_counted{this->processes.size(),
                                             this->processes.size()});
        // Whoever it links to tells what is known.
        for (std::size_t other = 0; other < this->processes.size(); ++other)
        {
            if (other != host && this->processes[other] != nullptr)
            {
                this->exchange(other, host);
            }
        }
    }

    /// A request comes to an entry host. One with the digest of `crashing`
    /// ends every upstream that runs it.
    void arrive(std::size_t host, std::uint64_t digest)
    {
        request_arrived arrival = make_arrival(++this->last_request);
        arrival.digest = digest;
        this->digests[arrival.request] = digest;
        ++this->arrived[digest];
        this->give(host, arrival);
    }

    /// Ends an upstream, with all that runs there.
    void end_upstream(std::size_t slot)
    {
        place& ended = this->places[slot];
        if (!ended.alive)
        {
            return;
        }
        ended.alive = false;
        ++this->ended_count;
        std::map<request_number, run> const lost =
            std::exchange(ended.running, {});
        for (auto const& [number, each] : lost)
        {
            this->give_later(1ms, each.host, each.incarnation,
                             upstream_failed{number, exchange_phase::maybe_sent,
                                             exchange_fault::connection_lost});
        }
        this->later(this->settings.restart,
                    [this, slot]
                    {
                        ++this->places[slot].incarnation;
                        this->places[slot].alive = true;
                        this->list_later();
                    });
    }

    /// Resets every connection to an upstream, which goes on running.
    void reset_upstream(std::size_t slot)
    {
        std::map<request_number, run> const lost =
            std::exchange(this->places[slot].running, {});
        for (auto const& [number, each] : lost)
        {
            this->give_later(1ms, each.host, each.incarnation,
                             upstream_failed{number, exchange_phase::maybe_sent,
                                             exchange_fault::connection_lost});
        }
    }

    /// Lets time pass.
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
                this->give(host, tick{});
            }
        }
    }

    /// Cuts a host off from the others, or joins it to them again.
    void set_cut(std::size_t host, bool cut)
    {
        if (cut)
        {
            this->cut_off.insert(host);
            return;
        }
        this->cut_off.erase(host);
        for (std::size_t other = 0; other < this->processes.size(); ++other)
        {
            if (other != host)
            {
                this->exchange(other, host);
                this->exchange(host, other);
            }
        }
    }

    /// Upstreams that ended so far.
    std::size_t ended() const
    {
        return this->ended_count;
    }

    /// Runs of a request so far, and those sent later than an instant.
    std::size_t runs_of(std::uint64_t digest, instant since = {}) const
    {
        std::size_t count = 0;
        for (auto const& [sent, what] : this->sendings)
        {
            count += what == digest && sent >= since ? 1U : 0U;
        }
        return count;
    }

    /// When upstream 0 first named its limit.
    std::optional<instant> first_named() const
    {
        return this->named_at;
    }

    /// Changes what upstream 0 names from now on.
    void set_limit(std::optional<double> limit)
    {
        this->settings.limit = limit;
    }

    /// Requests that reached upstream 0 since an instant.
    std::size_t limited_since(instant since) const
    {
        return static_cast<std::size_t>(std::count_if(
            this->limited_sendings.begin(), this->limited_sendings.end(),
            [since](instant sent)
            {
                return sent >= since;
            }));
    }

    /// Most requests that reached upstream 0 in any span of that length,
    /// from an instant on.
    std::size_t most_limited_within(duration span, instant from) const
    {
        std::size_t most = 0;
        for (instant const& begin : this->limited_sendings)
        {
            if (begin >= from)
            {
                std::size_t const within = this->limited_since(begin) -
                                           this->limited_since(begin + span);
                most = std::max(most, within);
            }
        }
        return most;
    }

    /// When the request ended an upstream for the third time.
    instant third_crash() const
    {
        return this->crashes.size() < 3 ? instant::max() : this->crashes[2];
    }

    /// Requests with that digest that were answered by an upstream.
    std::size_t answered(std::uint64_t digest)
    {
        return this->answers[digest];
    }

    /// Requests with that digest that came.
    std::size_t arrivals(std::uint64_t digest)
    {
        return this->arrived[digest];
    }

    /// Requests with that digest that were refused since upstreams ended
    /// under it.
    std::size_t refused_for_crashes(std::uint64_t digest)
    {
        return this->refusals[digest];
    }

    std::size_t hosts() const
    {
        return this->processes.size();
    }

    static constexpr std::uint64_t crashing = 0xc0ffee;

    instant now = instant{} + 1h;

private:
    struct run
    {
        std::size_t host = 0;
        std::uint64_t incarnation = 0;
    };

    struct place
    {
        std::uint64_t incarnation = 0;
        bool alive = true;
        std::map<request_number, run> running = {};
    };

    static std::string name_of(std::size_t slot, std::uint64_t incarnation)
    {
        return fmt::format("u{}-{}", slot, incarnation);
    }

    std::shared_ptr<listed_upstreams const> listing() const
    {
        auto all = std::make_shared<listed_upstreams>();
        for (std::size_t slot = 0; slot < this->places.size(); ++slot)
        {
            all->push_back(make_listed(
                "read", name_of(slot, this->places[slot].incarnation), 3));
            all->back().upstream.address.port =
                static_cast<std::uint16_t>(slot + 1);
        }
        return all;
    }

    void list_later()
    {
        std::shared_ptr<listed_upstreams const> const all = this->listing();
        for (std::size_t host = 0; host < this->processes.size(); ++host)
        {
            this->later(this->settings.listing_lag,
                        [this, host, all]
                        {
                            this->give(host, upstreams_listed{all});
                        });
        }
    }

    void later(duration wait, std::function<void()> what)
    {
        this->pending.emplace(this->now + wait, std::move(what));
    }

    void give_later(duration wait, std::size_t host, std::uint64_t incarnation,
                    event happened)
    {
        this->later(wait,
                    [this, host, incarnation, happened = std::move(happened)]
                    {
                        if (this->incarnations[host] == incarnation)
                        {
                            this->give(host, happened);
                        }
                    });
    }

    void give(std::size_t host, event const& happened)
    {
        for (effect const& each :
             this->processes[host]->reduce(happened, this->now))
        {
            std::visit(
                [this, host](auto const& what)
                {
                    this->carry_out(host, what);
                },
                each);
        }
    }

    bool is_cut(std::size_t one, std::size_t other) const
    {
        return this->cut_off.contains(one) != this->cut_off.contains(other);
    }

    /// One host tells another all that it knows.
    void exchange(std::size_t from, std::size_t to)
    {
        this->tell(from, to, this->processes[from]->crash_records().records());
    }

    void tell(std::size_t from, std::size_t to,
              std::vector<policy::crash_record> const& records)
    {
        if (records.empty() || this->is_cut(from, to))
        {
            return;
        }
        this->give_later(this->settings.news_lag, to, this->incarnations[to],
                         crash_records_heard{from, records});
    }

    template <class Other>
    void carry_out(std::size_t, Other const&)
    {
    }

    void carry_out(std::size_t host, start_upstream const& order)
    {
        std::size_t const slot = order.address.port - 1U;
        place& upstream = this->places[slot];
        std::uint64_t const digest = this->digests[order.request];
        std::uint64_t const incarnation = this->incarnations[host];
        bool const is_same =
            order.upstream.text() == name_of(slot, upstream.incarnation);
        if (!upstream.alive)
        {
            this->give_later(1ms, host, incarnation,
                             upstream_failed{order.request,
                                             exchange_phase::not_sent,
                                             exchange_fault::connect_failed});
            return;
        }
        if (!is_same)
        {
            upstream_head_received head;
            head.request = order.request;
            head.status = 421;
            head.misdirected = true;
            head.not_run = true;
            this->give_later(1ms, host, incarnation, head);
            return;
        }
        this->sendings.emplace_back(this->now, digest);
        if (slot == 0)
        {
            this->limited_sendings.push_back(this->now);
        }
        upstream.running[order.request] = {host, incarnation};
        this->later(this->settings.run,
                    [this, slot, number = order.request, digest]
                    {
                        this->end_run(slot, number, digest);
                    });
    }

    void carry_out(std::size_t host, probe_upstream const& wanted)
    {
        bool const alive = this->places[wanted.address.port - 1U].alive;
        this->give_later(
            1ms, host, this->incarnations[host],
            upstream_probed{wanted.upstream, alive ? probe_outcome::taken
                                                   : probe_outcome::refused});
    }

    void carry_out(std::size_t host, tell_crash_records const& wanted)
    {
        for (std::size_t other = 0; other < this->processes.size(); ++other)
        {
            if (other != host &&
                (!wanted.only_to.has_value() || other == *wanted.only_to))
            {
                this->tell(host, other, wanted.records);
            }
        }
    }

    void carry_out(std::size_t host, tell_limits const& wanted)
    {
        host_id const sender(fmt::format("edge-{}", host));
        for (std::size_t other = 0; other < this->processes.size(); ++other)
        {
            if (other != host && !this->is_cut(host, other))
            {
                this->give_later(this->settings.news_lag, other,
                                 this->incarnations[other],
                                 limits_heard{sender, wanted.reports});
            }
        }
    }

    void carry_out(std::size_t, request_ended const& end)
    {
        if (end.reason == refusal_reason::crashes_upstreams)
        {
            ++this->refusals[end.digest];
        }
    }

    void end_run(std::size_t slot, request_number number, std::uint64_t digest)
    {
        place& upstream = this->places[slot];
        auto const running = upstream.running.find(number);
        if (running == upstream.running.end())
        {
            return;
        }
        if (digest == crashing)
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
            head.limit = slot == 0 ? this->settings.limit : std::nullopt;
            if (head.limit.has_value() && !this->named_at.has_value())
            {
                this->named_at = this->now;
            }
            this->give(done.host, head);
            this->give(done.host, upstream_answer_finished{number, {}});
        }
    }

    upstream_fleet_settings settings;
    std::shared_ptr<config::configuration> content;
    std::vector<std::unique_ptr<entry_reducer>> processes;
    std::vector<std::uint64_t> incarnations;
    std::vector<place> places;
    std::multimap<instant, std::function<void()>> pending;
    std::map<request_number, std::uint64_t> digests;
    std::map<std::uint64_t, std::size_t> arrived;
    std::map<std::uint64_t, std::size_t> answers;
    std::vector<std::pair<instant, std::uint64_t>> sendings;
    std::vector<instant> crashes;
    std::vector<instant> limited_sendings;
    std::optional<instant> named_at;
    std::size_t ended_count = 0;
    std::set<std::size_t> cut_off;
    std::map<std::uint64_t, std::size_t> refusals;
    std::uint64_t last_request = 0;
};

} // namespace bilberrylead::entry

#endif
