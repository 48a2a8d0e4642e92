#include "schedule.hpp"

#include <algorithm>
#include <array>
#include <chrono>

namespace bilberrylead::agreement::tests
{

namespace
{

/// Frequencies of the actions; each profile targets different faults.
constexpr std::array profiles = {
    // All actions.
    schedule_profile{.deliver = 56,
                     .carry_out = 8,
                     .advance_time = 15,
                     .request = 11,
                     .crash = 4,
                     .partition = 2,
                     .freeze = 1,
                     .change_members = 2,
                     .no_faults = 1,
                     .crash_during_effects = 1,
                     .oldest_first = 60,
                     .reads = 40,
                     .max_time_step_ms = 150,
                     .max_append_entries = 3},
    // Crashes and partitions during leader changes, with one entry per message:
    // targets lost votes and entries of old terms.
    schedule_profile{.deliver = 50,
                     .carry_out = 8,
                     .advance_time = 22,
                     .request = 5,
                     .crash = 10,
                     .partition = 4,
                     .freeze = 1,
                     .change_members = 0,
                     .no_faults = 0,
                     .crash_during_effects = 8,
                     .oldest_first = 75,
                     .reads = 10,
                     .max_time_step_ms = 400,
                     .max_append_entries = 1},
    // Late replies, one-way partitions, suspended processes and many reads:
    // targets leases.
    schedule_profile{.deliver = 46,
                     .carry_out = 3,
                     .advance_time = 17,
                     .request = 22,
                     .crash = 1,
                     .partition = 5,
                     .freeze = 6,
                     .change_members = 0,
                     .no_faults = 0,
                     .crash_during_effects = 0,
                     .oldest_first = 80,
                     .reads = 60,
                     .max_time_step_ms = 120,
                     .max_append_entries = 3},
    // Overlapping membership changes.
    schedule_profile{.deliver = 52,
                     .carry_out = 8,
                     .advance_time = 17,
                     .request = 7,
                     .crash = 5,
                     .partition = 3,
                     .freeze = 1,
                     .change_members = 7,
                     .no_faults = 0,
                     .crash_during_effects = 3,
                     .oldest_first = 70,
                     .reads = 20,
                     .max_time_step_ms = 250,
                     .max_append_entries = 2},
};

schedule_profile const& profile_of(std::uint64_t seed)
{
    return profiles.at(seed % profiles.size());
}

/// Small limits, so that a run of a few hundred steps reaches all of them.
replica_settings small_limits(std::uint64_t seed, bool wait_after_pause)
{
    replica_settings settings;
    settings.wait_after_pause = wait_after_pause;
    settings.max_append_entries = profile_of(seed).max_append_entries;
    settings.max_append_bytes = 10;
    settings.max_inflight_entries = 7;
    settings.snapshot_threshold = 12;
    settings.kept_entries = 4;
    settings.snapshot_chunk_bytes = 3;
    settings.caught_up_entries = 3;
    return settings;
}

std::size_t initial_members_of(std::uint64_t seed)
{
    return seed / profiles.size() % 3 == 0 ? 5 : 3;
}

std::size_t spare_hosts_of(std::uint64_t seed)
{
    return profile_of(seed).change_members == 0 ? 0 : 1 + seed / 12 % 2;
}

} // namespace

schedule::schedule(std::uint64_t seed, safeguards const& enabled,
                   bool wait_after_pause)
    : random(seed), profile(profile_of(seed)),
      group(initial_members_of(seed), spare_hosts_of(seed), seed,
            small_limits(seed, wait_after_pause), enabled)
{
    // Clock rates differ by up to 4 % in either direction.
    constexpr std::int64_t min_clock_rate = 960;
    constexpr std::size_t spread = 81;
    for (test_host& host : this->group.hosts)
    {
        host.clock_rate =
            min_clock_rate + static_cast<std::int64_t>(this->draw(spread));
    }
}

std::optional<std::string> schedule::run(std::size_t steps)
{
    this->group.run_for(std::chrono::milliseconds(this->draw(3000)));
    for (std::size_t done = 0; done < steps && !this->has_violation(); ++done)
    {
        this->step();
    }
    if (!this->has_violation())
    {
        this->recover();
    }
    return this->group.checker.violation;
}

std::string schedule::describe() const
{
    return this->group.describe();
}

void schedule::step()
{
    struct choice
    {
        std::size_t weight;
        void (schedule::*act)();
    };
    std::array const choices = {
        choice{this->profile.deliver, &schedule::deliver_messages},
        choice{this->profile.carry_out, &schedule::carry_out_some},
        choice{this->profile.advance_time, &schedule::advance_time},
        choice{this->profile.request, &schedule::send_requests},
        choice{this->profile.crash, &schedule::crash_or_start},
        choice{this->profile.partition, &schedule::change_partitions},
        choice{this->profile.freeze, &schedule::freeze_or_thaw},
        choice{this->profile.change_members, &schedule::change_members},
        choice{this->profile.no_faults, &schedule::run_without_faults},
    };
    std::size_t drawn = this->draw(100);
    for (choice const& one : choices)
    {
        if (drawn < one.weight)
        {
            (this->*one.act)();
            return;
        }
        drawn -= one.weight;
    }
}

void schedule::run_without_faults()
{
    this->group.run_for(std::chrono::milliseconds(this->draw(1500)));
}

/// Executes the pending effects of a host; sometimes the host crashes in
/// between, after any number of effects.
void schedule::carry_out_or_crash(std::size_t host_index)
{
    test_host const& host = this->group.hosts.at(host_index);
    bool const crashes = host.pending_effects.size() > 1 &&
                         this->chance(this->profile.crash_during_effects);
    if (!crashes)
    {
        this->group.carry_out_all(host_index);
        return;
    }
    this->group.carry_out(host_index, this->draw(host.pending_effects.size()));
    this->group.crash(host_index, this->draw(host.disk.unsynced_writes() + 1));
    if (this->chance(70))
    {
        this->group.start(host_index);
    }
}

void schedule::deliver_messages()
{
    constexpr std::size_t max_count = 9;
    for (std::size_t left = 1 + this->draw(max_count); left > 0; --left)
    {
        this->deliver_one();
    }
}

void schedule::deliver_one()
{
    if (this->group.in_flight.empty())
    {
        return;
    }
    std::size_t const oldest = 0;
    std::size_t const message_index =
        this->chance(this->profile.oldest_first)
            ? oldest
            : this->draw(this->group.in_flight.size());
    std::size_t const to = this->group.in_flight.at(message_index).to;
    constexpr std::size_t hold_back_percent = 85;
    if (this->slow_receiver == to && this->chance(hold_back_percent))
    {
        return;
    }
    if (this->chance(4))
    {
        this->group.in_flight.erase(this->group.in_flight.begin() +
                                    static_cast<std::ptrdiff_t>(message_index));
        return;
    }
    constexpr std::size_t max_count = 4;
    if (this->chance(15))
    {
        this->group.deliver_batch(to, max_count);
    }
    else
    {
        this->group.deliver(message_index, this->chance(8));
    }
    if (this->group.hosts.at(to).is_running() && this->chance(80))
    {
        this->carry_out_or_crash(to);
    }
}

void schedule::carry_out_some()
{
    std::size_t const host_index = this->any_host();
    test_host const& host = this->group.hosts.at(host_index);
    if (host.is_running())
    {
        this->group.carry_out(host_index,
                              this->draw(host.pending_effects.size() + 1));
    }
}

void schedule::advance_time()
{
    this->group.elapsed += std::chrono::milliseconds(
        1 + this->draw(this->profile.max_time_step_ms));
    for (std::size_t host_index = 0; host_index < this->group.hosts.size();
         ++host_index)
    {
        if (this->group.hosts.at(host_index).is_running() && this->chance(80))
        {
            this->group.reduce(host_index, tick{});
            if (this->chance(85))
            {
                this->group.carry_out_all(host_index);
            }
        }
    }
}

void schedule::send_requests()
{
    std::optional<std::size_t> const leader = this->any_leader();
    if (!leader.has_value())
    {
        return;
    }
    constexpr std::size_t max_count = 3;
    std::vector<event> events;
    for (std::size_t left = 1 + this->draw(max_count); left > 0; --left)
    {
        events.push_back(this->chance(this->profile.reads)
                             ? this->group.new_read()
                             : this->group.new_proposal());
    }
    this->group.reduce(*leader, events);
    if (this->chance(80))
    {
        this->group.carry_out_all(*leader);
    }
}

void schedule::crash_or_start()
{
    std::size_t const host_index = this->leader_or_other();
    test_host& host = this->group.hosts.at(host_index);
    if (host.replica != nullptr)
    {
        if (this->chance(30))
        {
            this->group.crash(host_index,
                              this->draw(host.disk.unsynced_writes() + 1));
        }
        return;
    }
    if (this->may_lose_disk(host_index) && this->chance(40))
    {
        this->group.lose_disk(host_index);
    }
    this->group.start(host_index);
}

void schedule::change_partitions()
{
    if (this->chance(60))
    {
        this->group.heal();
    }
    else if (this->chance(40))
    {
        this->group.isolate(this->leader_or_other());
    }
    else
    {
        // Two statements: the order in which arguments are evaluated differs
        // between processors, and with it the schedule of a seed.
        std::size_t const to = this->any_host();
        std::size_t const from = this->leader_or_other();
        this->group.block_link(from, to);
    }
}

void schedule::freeze_or_thaw()
{
    this->slow_receiver.reset();
    if (this->chance(40))
    {
        this->slow_receiver = this->leader_or_other();
    }
    std::size_t const host_index = this->any_host();
    test_host& host = this->group.hosts.at(host_index);
    host.frozen = host.is_running() && this->chance(30);
}

void schedule::change_members()
{
    std::optional<std::size_t> const leader = this->any_leader();
    if (!leader.has_value() || this->has_unsettled_disk())
    {
        return;
    }
    if (this->chance(25))
    {
        this->group.reduce(*leader, handover_requested{});
        return;
    }
    constexpr std::size_t actions = 3;
    std::size_t const host_index = this->any_host();
    test_host const& host = this->group.hosts.at(host_index);
    std::uint64_t const incarnation = this->chance(50) ? host.incarnation : 0;
    constexpr std::uint64_t no_token = 0;
    this->group.reduce(*leader,
                       membership_change_requested{
                           no_token,
                           static_cast<membership_action>(this->draw(actions)),
                           host.id, incarnation});
}

/// A host may lose its disk only while all other members are up, agree on a
/// membership of at least three voters and have the disks they are listed with:
/// the group tolerates one loss, and no change on top of it.
bool schedule::may_lose_disk(std::size_t host_index) const
{
    constexpr std::size_t min_voters = 3;
    std::optional<std::size_t> const leader = this->group.leader();
    if (!leader.has_value() || this->has_unsettled_disk())
    {
        return false;
    }
    membership const& members =
        this->group.hosts.at(*leader).replica->membership();
    for (std::size_t other = 0; other < this->group.hosts.size(); ++other)
    {
        test_host const& host = this->group.hosts.at(other);
        bool const agrees =
            host.replica != nullptr && host.replica->membership() == members;
        if (other != host_index && members.find(host.id) != nullptr && !agrees)
        {
            return false;
        }
    }
    return members.voters() >= min_voters;
}

/// True while some host has a disk that the leader's membership does not list
/// yet.
bool schedule::has_unsettled_disk() const
{
    std::optional<std::size_t> const leader = this->group.leader();
    if (!leader.has_value())
    {
        return true;
    }
    membership const& members =
        this->group.hosts.at(*leader).replica->membership();
    return std::ranges::any_of(
        this->group.hosts,
        [&members](test_host const& host)
        {
            member const* const listed = members.find(host.id);
            return listed != nullptr && listed->incarnation != 0 &&
                   listed->incarnation != host.incarnation;
        });
}

void schedule::recover()
{
    this->group.heal();
    this->slow_receiver.reset();
    for (std::size_t host_index = 0; host_index < this->group.hosts.size();
         ++host_index)
    {
        test_host& host = this->group.hosts.at(host_index);
        host.frozen = false;
        if (host.replica == nullptr)
        {
            this->group.start(host_index);
        }
        this->group.carry_out_all(host_index);
    }
    if (!this->accepts_proposals_again() && !this->has_violation())
    {
        this->group.checker.fail("the group does not recover:" +
                                 this->group.describe());
    }
}

bool schedule::accepts_proposals_again()
{
    constexpr int max_rounds = 60;
    for (int round = 0; round < max_rounds && !this->has_violation(); ++round)
    {
        this->group.run_for(std::chrono::seconds(1));
        std::optional<std::size_t> const leader = this->group.leader();
        if (!leader.has_value())
        {
            continue;
        }
        std::uint64_t const token = this->group.propose_at(*leader);
        this->group.carry_out_all(*leader);
        this->group.deliver_all();
        this->group.run_for(std::chrono::seconds(1));
        if (this->group.outcome_of(token) == outcome::accepted &&
            this->all_caught_up())
        {
            return true;
        }
    }
    return false;
}

bool schedule::all_caught_up() const
{
    std::optional<std::size_t> const leader = this->group.leader();
    if (!leader.has_value())
    {
        return false;
    }
    membership const& members =
        this->group.hosts.at(*leader).replica->membership();
    return std::ranges::all_of(
        this->group.hosts,
        [this, &members](test_host const& host)
        {
            member const* const listed = members.find(host.id);
            return listed == nullptr ||
                   (listed->incarnation == host.incarnation &&
                    host.applied == this->group.checker.committed());
        });
}

bool schedule::has_violation() const
{
    return this->group.checker.violation.has_value();
}

std::size_t schedule::draw(std::size_t below)
{
    return std::uniform_int_distribution<std::size_t>(0,
                                                      below - 1)(this->random);
}

bool schedule::chance(std::size_t percent)
{
    return this->draw(100) < percent;
}

std::size_t schedule::any_host()
{
    return this->draw(this->group.hosts.size());
}

/// Selects the leader in half of the cases, since faults there have the
/// greatest effect.
std::size_t schedule::leader_or_other()
{
    std::size_t const other = this->any_host();
    return this->chance(50) ? this->any_leader().value_or(other) : other;
}

std::optional<std::size_t> schedule::any_leader()
{
    std::size_t const first = this->any_host();
    for (std::size_t turn = 0; turn < this->group.hosts.size(); ++turn)
    {
        std::size_t const host_index =
            (first + turn) % this->group.hosts.size();
        test_host const& host = this->group.hosts.at(host_index);
        if (host.is_running() && host.is_leader())
        {
            return host_index;
        }
    }
    return std::nullopt;
}

} // namespace bilberrylead::agreement::tests
