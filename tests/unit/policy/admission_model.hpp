#ifndef BILBERRYLEAD_TESTS_UNIT_POLICY_ADMISSION_MODEL_HPP
#define BILBERRYLEAD_TESTS_UNIT_POLICY_ADMISSION_MODEL_HPP

#include "bilberrylead/policy/generator.hpp"
#include "bilberrylead/policy/mean_load.hpp"
#include "bilberrylead/policy/placement_candidate.hpp"
#include "bilberrylead/policy/plan_order.hpp"
#include "bilberrylead/policy/rank_admission.hpp"
#include "bilberrylead/policy/upstream_estimate.hpp"
#include "bilberrylead/policy/upstream_placement.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <numeric>
#include <optional>
#include <queue>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace bilberrylead::policy
{

using namespace std::chrono_literals;

/// How the hosts of the model admit requests.
enum class model_mode
{
    none,
    by_rank,
    by_plan,
    /// Compared only: a request that would be refused waits at the host for a
    /// short time and is placed in order of rank.
    ordered_wait,
};

/// Load and faults of one run of the model.
struct model_load
{
    model_mode mode = model_mode::none;
    std::size_t hosts = 100;
    /// Offered work relative to the capacity.
    double offered = 1.2;
    /// Share of the requests by rank.
    std::vector<double> rank_shares = {0.25, 0.4, 0.35};
    std::size_t customers = 77;
    /// Rate of the first customer relative to its usual one, in the burst.
    double pressing = 1;
    instant burst_start{};
    instant burst_end = instant::max();
    /// Time from which the offered work is `later_offered`.
    instant change_at = instant::max();
    double later_offered = 1;
    /// Time at which all hosts lose their state.
    std::optional<instant> restart_at;
    /// Hosts that start at `hosts_added_at`, without any state.
    std::size_t added_hosts = 0;
    instant hosts_added_at = instant::max();
    /// Time from which the leader is cut off from the other control hosts, and
    /// a new one plans. The hosts receive the plans of both; those of the old
    /// leader admit nothing.
    instant divided_at = instant::max();
    /// False: the hosts apply each plan that arrives, for comparison.
    bool orders_plans = true;
    /// Time from which hosts receive no new plan.
    instant plan_lost_at = instant::max();
    /// Capacity that the plan assumes relative to the real one.
    double plan_error = 1;
    duration plan_delay = 1s;
    std::uint64_t seed = 1;
    duration length = 45s;
    duration warm_up = 15s;
};

/// Outcome of a run after the warm-up.
struct model_result
{
    struct group
    {
        double requests = 0;
        double served = 0;
        double in_target = 0;

        double served_share() const
        {
            return this->requests == 0 ? 1 : this->served / this->requests;
        }
    };

    std::map<std::uint32_t, group> ranks;
    std::vector<group> customers;
    double slots_in_use = 0;

    double refused_per_100(std::uint32_t rank) const
    {
        return 100 * (1 - this->ranks.at(rank).served_share());
    }

    /// Mean credit of a rank's requests, with 1 within the latency target and
    /// 0.2 after it.
    double credit(std::uint32_t rank) const
    {
        group const& row = this->ranks.at(rank);
        return (row.in_target + 0.2 * (row.served - row.in_target)) /
               row.requests;
    }

    /// Served share of the worst tenth of the customers relative to the mean
    /// over the customers.
    double worst_tenth() const
    {
        std::vector<double> shares;
        double sum = 0;
        for (group const& row : this->customers)
        {
            shares.push_back(row.served_share());
            sum += shares.back();
        }
        std::sort(shares.begin(), shares.end());
        std::size_t const count = std::max<std::size_t>(shares.size() / 10, 1);
        double worst = 0;
        for (std::size_t each = 0; each < count; ++each)
        {
            worst += shares[each] / static_cast<double>(count);
        }
        return worst * static_cast<double>(shares.size()) / sum;
    }
};

/// Discrete-event model of one service: many entry hosts share its upstreams,
/// each of which queues requests, and a refused caller retries once. The hosts
/// decide with the classes of the product.
class admission_model
{
public:
    explicit admission_model(model_load const& offered_load)
        : load(offered_load), random(offered_load.seed), hosts(load.hosts),
          upstreams(upstream_count),
          offered_now(load.rank_shares.size() * load.customers),
          offered_average(offered_now.size())
    {
        this->result.customers.resize(this->load.customers);
        double sum = 0;
        for (std::size_t each = 0; each < this->load.customers; ++each)
        {
            // A few customers are large.
            this->weights.push_back(1 /
                                    std::sqrt(static_cast<double>(each) + 1.0));
            sum += this->weights.back();
        }
        for (double& weight : this->weights)
        {
            weight /= sum;
        }
        for (std::size_t each = 0; each < this->hosts.size(); ++each)
        {
            this->hosts[each].emplace(this->random.next());
        }
    }

    model_result run()
    {
        this->schedule_arrival();
        this->push(1s,
                   [this]
                   {
                       this->make_plan();
                   });
        if (this->load.added_hosts > 0)
        {
            this->push(this->load.hosts_added_at - this->now,
                       [this]
                       {
                           this->add_hosts();
                       });
        }
        if (this->load.restart_at.has_value())
        {
            this->push(*this->load.restart_at - this->now,
                       [this]
                       {
                           for (std::optional<host>& each : this->hosts)
                           {
                               each.emplace(this->random.next());
                           }
                           ++this->incarnation;
                       });
        }
        instant const end = instant{} + this->load.length;
        while (!this->events.empty() && this->events.top().when <= end)
        {
            event const next = this->events.top();
            this->events.pop();
            this->count_slots(next.when);
            this->now = next.when;
            next.action();
        }
        this->result.slots_in_use = this->busy_time / this->total_time;
        return this->result;
    }

private:
    static constexpr std::size_t upstream_count = 40;
    static constexpr std::uint32_t slots = 4;
    static constexpr std::size_t queue_length = 12;
    static constexpr duration mean_run = 300ms;
    static constexpr duration target = 600ms;
    static constexpr duration deadline = 5s;
    static constexpr duration network = 500us;
    static constexpr duration ordered_wait = 150ms;
    static constexpr duration ordered_step = 10ms;
    static constexpr double capacity_slots = upstream_count * slots;

    struct request
    {
        std::size_t host = 0;
        std::uint32_t rank = 0;
        std::size_t customer = 0;
        instant arrived{};
        bool repeated = false;
        /// True if the request first arrived after the warm-up.
        bool measured = false;
        bool within_share = true;
        /// Kept while the request waits at the host.
        instant give_up{};
        std::size_t upstream = 0;
        std::uint32_t incarnation = 0;
    };

    struct host
    {
        explicit host(std::uint64_t seed)
            : admission({}, seed), random(seed), load(mean_run, 0),
              estimates(upstream_count), in_flight(upstream_count),
              candidates(upstream_count)
        {
        }

        rank_admission admission;
        generator random;
        mean_load load;
        std::vector<upstream_estimate> estimates;
        std::vector<std::uint32_t> in_flight;
        std::vector<placement_candidate> candidates;
        std::vector<request> waiting;
        bool polls = false;
        plan_order plans;
    };

    /// A plan with its leader's term and its number.
    struct numbered_plan
    {
        std::uint64_t term = 1;
        std::uint64_t number = 0;
        admission_plan plan;
    };

    struct upstream
    {
        std::uint32_t running = 0;
        std::deque<request> queue;
    };

    struct event
    {
        instant when;
        std::uint64_t number;
        std::function<void()> action;

        bool operator<(event const& other) const
        {
            return std::pair(this->when, this->number) >
                   std::pair(other.when, other.number);
        }
    };

    void push(duration delay, std::function<void()> action)
    {
        this->events.push(
            {this->now + delay, this->event_count++, std::move(action)});
    }

    void add_hosts()
    {
        for (std::size_t each = 0; each < this->load.added_hosts; ++each)
        {
            this->hosts.emplace_back(std::in_place, this->random.next());
        }
    }

    bool is_measured(instant when) const
    {
        return when >= instant{} + this->load.warm_up;
    }

    void count_slots(instant until)
    {
        if (this->is_measured(this->now))
        {
            double const time =
                std::chrono::duration<double>(until - this->now).count();
            this->total_time += time;
            this->busy_time += time * this->busy_slots / capacity_slots;
        }
    }

    double exponential(double mean)
    {
        return -mean * std::log(1 - this->random.unit());
    }

    bool in_burst() const
    {
        return this->load.pressing > 1 && this->now >= this->load.burst_start &&
               this->now < this->load.burst_end;
    }

    double weight_sum() const
    {
        return 1 + (this->in_burst()
                        ? (this->load.pressing - 1) * this->weights[0]
                        : 0);
    }

    void schedule_arrival()
    {
        double const usual =
            (this->now < this->load.change_at ? this->load.offered
                                              : this->load.later_offered) *
            capacity_slots / std::chrono::duration<double>(mean_run).count();
        double const gap = this->exponential(1 / (usual * this->weight_sum()));
        this->push(std::chrono::duration_cast<duration>(
                       std::chrono::duration<double>(gap)),
                   [this]
                   {
                       this->arrive();
                   });
    }

    std::size_t draw(std::vector<double> const& shares, double first_factor)
    {
        double sum = 0;
        for (double const share : shares)
        {
            sum += share;
        }
        sum += shares[0] * (first_factor - 1);
        double drawn = this->random.unit() * sum;
        for (std::size_t each = 0; each < shares.size(); ++each)
        {
            drawn -= shares[each] * (each == 0 ? first_factor : 1);
            if (drawn < 0)
            {
                return each;
            }
        }
        return shares.size() - 1;
    }

    void arrive()
    {
        request arrived;
        arrived.host =
            this->random.below(static_cast<std::uint32_t>(this->hosts.size()));
        arrived.rank =
            static_cast<std::uint32_t>(this->draw(this->load.rank_shares, 1));
        arrived.customer = this->draw(
            this->weights, this->in_burst() ? this->load.pressing : 1);
        arrived.arrived = this->now;
        arrived.measured = this->is_measured(this->now);
        if (arrived.measured)
        {
            this->result.ranks[arrived.rank].requests += 1;
            this->result.customers[arrived.customer].requests += 1;
        }
        this->offer(arrived);
        this->schedule_arrival();
    }

    static customer_id name_of(std::size_t customer)
    {
        return customer_id("c" + std::to_string(customer));
    }

    void offer(request arrived)
    {
        host& at = *this->hosts[arrived.host];
        arrived.incarnation = this->incarnation;
        this->offered_now[arrived.rank * this->load.customers +
                          arrived.customer] += 1;
        double tolerance = 1;
        arrived.within_share = true;
        if (this->uses_admission())
        {
            at.admission.record_offered(arrived.rank, name_of(arrived.customer),
                                        this->now);
            tolerance = at.admission.tolerance(
                arrived.rank, name_of(arrived.customer), this->now);
            arrived.within_share = at.admission.is_within_share(
                arrived.rank, name_of(arrived.customer), this->now);
        }
        this->place(arrived, tolerance);
    }

    bool uses_admission() const
    {
        return this->load.mode == model_mode::by_rank ||
               this->load.mode == model_mode::by_plan;
    }

    void place(request arrived, double tolerance)
    {
        host& at = *this->hosts[arrived.host];
        for (std::size_t index = 0; index < upstream_count; ++index)
        {
            placement_candidate& candidate = at.candidates[index];
            candidate.hash = index;
            candidate.slots = slots;
            candidate.in_flight = at.in_flight[index];
            candidate.held_by_others = at.estimates[index].held_by_others(
                at.load.held_by_others(), this->now);
            candidate.service_time = at.load.run_time();
            candidate.one_way_latency = network;
        }
        placement_request question;
        question.time_to_target = arrived.arrived + target - this->now;
        question.time_to_deadline = arrived.arrived + deadline - this->now;
        question.wait_tolerance = tolerance;
        placement_verdict const verdict =
            this->placement.place(at.candidates, question, at.random);
        if (placed const* const found = std::get_if<placed>(&verdict))
        {
            arrived.upstream = found->index;
            ++at.in_flight[found->index];
            this->push(network,
                       [this, arrived]
                       {
                           this->reach(arrived);
                       });
            return;
        }
        if (this->load.mode == model_mode::ordered_wait &&
            (arrived.give_up == instant{} || this->now < arrived.give_up))
        {
            if (arrived.give_up == instant{})
            {
                arrived.give_up = this->now + ordered_wait;
            }
            at.waiting.push_back(arrived);
            this->poll_later(arrived.host);
            return;
        }
        this->refuse(arrived, std::get<no_free_capacity>(verdict).retry_after);
    }

    void poll_later(std::size_t number)
    {
        if (!std::exchange(this->hosts[number]->polls, true))
        {
            this->push(ordered_step,
                       [this, number]
                       {
                           this->poll(number);
                       });
        }
    }

    void poll(std::size_t number)
    {
        host& at = *this->hosts[number];
        at.polls = false;
        std::vector<request> waiting = std::move(at.waiting);
        at.waiting.clear();
        std::vector<std::size_t> order(waiting.size());
        std::iota(order.begin(), order.end(), std::size_t{0});
        std::sort(order.begin(), order.end(),
                  [&waiting](std::size_t one, std::size_t other)
                  {
                      return std::pair(waiting[one].rank, one) <
                             std::pair(waiting[other].rank, other);
                  });
        for (std::size_t const index : order)
        {
            this->place(waiting[index], 1);
        }
    }

    void refuse(request refused, duration retry_after)
    {
        if (this->uses_admission())
        {
            this->hosts[refused.host]->admission.record_refused(
                refused.rank, this->now, refused.within_share);
        }
        if (!refused.repeated)
        {
            refused.repeated = true;
            refused.give_up = instant{};
            this->push(retry_after,
                       [this, refused]() mutable
                       {
                           // The caller's time starts again with its retry.
                           refused.arrived = this->now;
                           this->offer(refused);
                       });
        }
    }

    void reach(request const& sent)
    {
        upstream& at = this->upstreams[sent.upstream];
        if (at.running < slots)
        {
            this->start(sent);
        }
        else if (at.queue.size() < queue_length)
        {
            at.queue.push_back(sent);
        }
        else
        {
            this->push(network,
                       [this, sent]
                       {
                           this->on_refusal(sent);
                       });
        }
    }

    void on_refusal(request const& sent)
    {
        if (sent.incarnation == this->incarnation)
        {
            host& at = *this->hosts[sent.host];
            --at.in_flight[sent.upstream];
            at.estimates[sent.upstream].record_refusal(
                slots, at.in_flight[sent.upstream], this->now);
        }
        this->refuse(sent, 1s);
    }

    void start(request const& sent)
    {
        ++this->upstreams[sent.upstream].running;
        this->busy_slots += 1;
        duration const run = scaled(mean_run, 0.7 + 0.6 * this->random.unit());
        this->push(run,
                   [this, sent, run]
                   {
                       this->finish(sent, run);
                   });
    }

    void finish(request const& sent, duration run)
    {
        upstream& at = this->upstreams[sent.upstream];
        --at.running;
        this->busy_slots -= 1;
        std::uint32_t const held =
            at.running + static_cast<std::uint32_t>(at.queue.size());
        if (!at.queue.empty())
        {
            request const next = at.queue.front();
            at.queue.pop_front();
            this->start(next);
        }
        this->push(network,
                   [this, sent, run, held]
                   {
                       this->answer(sent, run, held);
                   });
    }

    void answer(request const& sent, duration run, std::uint32_t held)
    {
        bool const in_time = this->now - sent.arrived <= target;
        if (sent.measured)
        {
            model_result::group& rank = this->result.ranks[sent.rank];
            rank.served += 1;
            rank.in_target += in_time ? 1 : 0;
            this->result.customers[sent.customer].served += 1;
        }
        if (sent.incarnation != this->incarnation)
        {
            return;
        }
        host& at = *this->hosts[sent.host];
        --at.in_flight[sent.upstream];
        std::uint32_t const own = at.in_flight[sent.upstream];
        at.estimates[sent.upstream].record_report(held, own, this->now);
        at.load.record_held_by_others(held > own ? held - own : 0);
        at.estimates[sent.upstream].record_run(run, at.load.run_time(),
                                               this->now);
        at.load.record_run(run);
        if (this->uses_admission())
        {
            at.admission.record_served(sent.rank, this->now);
            if (!in_time && run + 2 * network <= target)
            {
                at.admission.record_late(sent.rank, this->now);
            }
        }
    }

    /// Ranks are admitted in ascending order; the customers of the rank that
    /// fits only in part share the rest, none more than it asks for.
    admission_plan plan_for(double capacity) const
    {
        admission_plan plan;
        double left = capacity;
        for (std::uint32_t rank = 0; rank < this->load.rank_shares.size();
             ++rank)
        {
            auto const first =
                this->offered_average.begin() +
                static_cast<std::ptrdiff_t>(rank * this->load.customers);
            std::vector<double> demand(
                first,
                first + static_cast<std::ptrdiff_t>(this->load.customers));
            double sum = 0;
            for (double const each : demand)
            {
                sum += each;
            }
            if (sum <= left)
            {
                plan.ranks.push_back({rank, 1});
                left -= sum;
                continue;
            }
            plan.ranks.push_back({rank, sum > 0 ? left / sum : 1});
            if (left > 0)
            {
                double const level = fair_level(demand, left);
                for (std::size_t each = 0; each < demand.size(); ++each)
                {
                    plan.customers.push_back(
                        {name_of(each), rank,
                         demand[each] <= level ? 1 : level / demand[each]});
                }
            }
            left = 0;
        }
        return plan;
    }

    static double fair_level(std::vector<double> demand, double capacity)
    {
        std::sort(demand.begin(), demand.end());
        std::size_t left = demand.size();
        for (double const each : demand)
        {
            double const level = capacity / static_cast<double>(left);
            if (each > level)
            {
                return level;
            }
            capacity -= each;
            --left;
        }
        return std::numeric_limits<double>::max();
    }

    /// The leader's plan, once a second, from the work that was offered.
    void make_plan()
    {
        double const run = std::chrono::duration<double>(mean_run).count();
        for (std::size_t each = 0; each < this->offered_now.size(); ++each)
        {
            this->offered_average[each] +=
                0.5 * (std::exchange(this->offered_now[each], 0) * run -
                       this->offered_average[each]);
        }
        if (this->load.mode == model_mode::by_plan &&
            this->now < this->load.plan_lost_at)
        {
            numbered_plan plan;
            plan.plan = this->plan_for(capacity_slots * this->load.plan_error);
            plan.number = ++this->plan_count;
            plan.term = this->is_divided() ? 2 : 1;
            this->send_plan(plan);
            if (this->is_divided())
            {
                plan.term = 1;
                for (rank_share& each : plan.plan.ranks)
                {
                    each.share = 0;
                }
                plan.plan.customers.clear();
                this->send_plan(plan);
            }
        }
        this->push(1s,
                   [this]
                   {
                       this->make_plan();
                   });
    }

    bool is_divided() const
    {
        return this->now >= this->load.divided_at;
    }

    void send_plan(numbered_plan const& sent)
    {
        this->push(this->load.plan_delay,
                   [this, sent]
                   {
                       for (std::optional<host>& each : this->hosts)
                       {
                           this->receive_plan(*each, sent);
                       }
                   });
    }

    void receive_plan(host& at, numbered_plan const& received)
    {
        if (!this->load.orders_plans ||
            (at.plans.accept_term(received.term) &&
             at.plans.accept_admission(received.number)))
        {
            at.admission.apply(received.plan, this->load.plan_delay, this->now);
        }
    }

    model_load load;
    generator random;
    std::vector<std::optional<host>> hosts;
    std::vector<upstream> upstreams;
    std::vector<double> weights;
    std::vector<double> offered_now;
    std::vector<double> offered_average;
    upstream_placement placement;
    std::priority_queue<event> events;
    std::uint64_t event_count = 0;
    instant now{};
    double busy_slots = 0;
    double busy_time = 0;
    double total_time = 0;
    std::uint32_t incarnation = 0;
    std::uint64_t plan_count = 0;
    model_result result;
};

} // namespace bilberrylead::policy

#endif
